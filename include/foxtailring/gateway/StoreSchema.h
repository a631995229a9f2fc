#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/configuration/RouteConfig.h"
#include "foxtailring/decisions/servers/BackendInfo.h"
#include "foxtailring/gateway/RolloutSchema.h"

#include <functional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Keys of the configuration and the server list in the store, and decoders of their values.
struct StoreSchema
{
    std::string configKey;       ///< key of the whole configuration
    std::string serverKeyPrefix; ///< a server's key is this prefix and the server's id
    std::function<Result<RouteConfig>(std::string_view value)> decodeConfig;
    std::function<Result<BackendInfo>(std::string_view id, std::string_view value)> decodeServer;
    RolloutSchema rollouts {}; ///< without prefixes there are no roll-outs
};

} // namespace foxtailring
