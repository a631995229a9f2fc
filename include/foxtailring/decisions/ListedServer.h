#pragma once

#include "foxtailring/decisions/ServerInfo.h"

namespace foxtailring {

/// \brief One backend server in the platform's VM list.
struct ListedServer
{
    ServerInfo info;
    bool isLeaving = false; ///< the list's state; a server's own recent report takes precedence
};

} // namespace foxtailring
