#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/BackendInfo.h"
#include "foxtailring/decisions/RouteConfig.h"

#include <functional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Where configuration and server list lie in the store, and how they are read.
struct StoreSchema
{
    std::string configKey;       ///< key of the whole configuration
    std::string serverKeyPrefix; ///< prefix of the servers' keys, followed by the server's id
    std::function<Result<RouteConfig>(std::string_view value)> decodeConfig;
    std::function<Result<BackendInfo>(std::string_view id, std::string_view value)> decodeServer;
};

} // namespace foxtailring
