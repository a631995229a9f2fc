#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/protocol/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief A key that this sidecar handles, until its outcome is stored at the platform.
struct PendingClaim
{
    enum class State : std::uint8_t {
        Claiming, ///< the claim is not known to be stored; the call was not sent
        Sent,     ///< the claim is stored and the call was sent
        Settled,  ///< the outcome is known and must be stored
    };
    struct Waiter
    {
        std::uint64_t callId = 0;
        TimePoint deadline;
    };

    std::string requestHash;
    std::string claimId;
    State state = State::Claiming;
    std::vector<Waiter> waiters;
    TimePoint deadline;                 ///< the latest of all waiters
    std::int64_t submittedAt = 0;       ///< Unix seconds
    bool isInSwap = false;              ///< part of the swap in flight
    bool mayBeStored = false;           ///< part of a swap whose result is not known
    Outcome outcome = Outcome::Unknown; ///< when settled
    std::uint32_t status = 0;
    std::optional<std::string> answer;
};

} // namespace foxtailring
