#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/rollouts/RolloutOrder.h"
#include "foxtailring/decisions/rollouts/RolloutStatus.h"

#include <functional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Keys of the operators' roll-outs in the store, and codecs of their values.
struct RolloutSchema
{
    std::string orderKeyPrefix;  ///< an order's key is this prefix and the service
    std::string statusKeyPrefix; ///< a status's key is this prefix and the service
    std::function<Result<RolloutOrder>(std::string_view service, std::string_view value)>
        decodeOrder;
    std::function<std::string(const RolloutStatus &)> encodeStatus;
    std::function<Result<RolloutStatus>(std::string_view value)> decodeStatus;
};

} // namespace foxtailring
