#pragma once

#include "foxtailring/decisions/servers/ServerInfo.h"

namespace foxtailring {

/// \brief One backend server in the platform's VM list.
struct ListedServer
{
    ServerInfo info;
    bool isLeaving = false; ///< overridden by a recent report of the server itself
};

} // namespace foxtailring
