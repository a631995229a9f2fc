#pragma once

#include "foxtailring/decisions/ServerInfo.h"

namespace foxtailring {

/// \brief One backend server in the platform's VM list.
struct ListedServer
{
    ServerInfo info;
    bool isLeaving =
        false; ///< state in the list; a recent report by the server itself overrides it
};

} // namespace foxtailring
