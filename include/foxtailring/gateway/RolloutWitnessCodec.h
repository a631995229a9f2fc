#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/rollouts/Rollouts.h"

#include <string>
#include <string_view>

namespace foxtailring {

/// \brief MessagePack form of what a gateway has seen of roll-outs, by which gateways share it
/// through the store.
class RolloutWitnessCodec
{
public:
    /// \brief A gateway's key in the store is this prefix and its node id.
    static constexpr std::string_view keyPrefix = "rollout-witnesses/";

    static std::string encode(const Rollouts::Witnesses &witnesses);
    /// \brief Malformed: not the output of encode().
    static Result<Rollouts::Witnesses> decode(std::string_view bytes);
};

} // namespace foxtailring
