#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/protocol/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief A key that this sidecar works on, until the platform's service holds its outcome.
struct ClaimEntry
{
    enum class State : std::uint8_t {
        Waiting, ///< its claim is not known to be stored; nothing was sent
        Claimed, ///< the call was sent
        Settled, ///< the outcome is known and is to be stored
    };
    struct Waiter
    {
        std::uint64_t ticket = 0;
        TimePoint deadline;
    };

    std::string body;
    std::string claim;
    State state = State::Waiting;
    std::vector<Waiter> waiters;
    TimePoint deadline;                 ///< the latest of all waiters
    std::int64_t submittedAt = 0;       ///< Unix seconds
    bool inSwap = false;                ///< part of the swap in flight
    bool mayBeStored = false;           ///< part of a swap whose result is not known
    Outcome outcome = Outcome::Unknown; ///< when settled
    std::uint32_t status = 0;
    std::optional<std::string> answer;
};

} // namespace foxtailring
