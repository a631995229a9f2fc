#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief The properties of a caller's request that a session uses.
struct ForwardRequest
{
    TimePoint arrivedAt;
    std::optional<Duration> callerTimeout; ///< how long the caller waits; none: not given
    std::string promptId;                  ///< identifies the prompt of a run; empty: not given
    std::vector<std::string> sharedPromptParts; ///< ids, in the order of the prompt
    std::uint64_t promptTokens = 0;             ///< of a run; 0: not given
    std::uint64_t maxOutputTokens = 0;          ///< of a run; 0: not given
    std::uint32_t tokensPerEvent = 1;           ///< of a run's output
    std::optional<std::int64_t> lastEventId;    ///< the last event that the caller has received
    Duration minAttemptTime {0}; ///< with less time left, it is not sent after a server rejected it
    std::string contentDigest;   ///< RequestDigest; the same for its repeats; empty: not given
    std::string account {};      ///< client account; empty: public route
    /// Of a run, 0 is the highest; none: all runs of its service are equal.
    std::optional<std::uint32_t> urgency {};
    std::size_t bodyBytes = 0;
};

} // namespace foxtailring
