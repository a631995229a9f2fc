#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief What the sessions need to know of a caller's request.
struct ForwardRequest
{
    TimePoint arrivedAt;
    std::optional<Duration> callerTimeout;   ///< how long the caller waits; none: not told
    std::string promptId;                    ///< names a run's own prompt; empty: not told
    std::uint64_t promptTokens = 0;          ///< of a run; 0: not told
    std::uint64_t maxOutputTokens = 0;       ///< at most, of a run
    std::uint32_t tokensPerEvent = 1;        ///< of a run's output
    std::optional<std::int64_t> lastEventId; ///< the caller has the stream up to this event
};

} // namespace foxtailring
