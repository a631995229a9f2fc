#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief What a run needs of an engine, and what decides which run goes first.
struct RunClaim
{
    std::string service;
    std::string account;                  ///< client account; empty: public route
    std::string promptId;                 ///< empty: not given
    std::optional<std::uint32_t> urgency; ///< 0 is the highest; none: equal in the whole service
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; ///< at most
    bool yields = true;             ///< leaves the last room to runs that go first
    TimePoint objectiveEnd;         ///< a later first event is late
    TimePoint deadline;             ///< of the caller

    std::uint64_t tokens() const { return promptTokens + outputTokens; }
};

} // namespace foxtailring
