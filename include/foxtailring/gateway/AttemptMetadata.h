#pragma once

#include "foxtailring/decisions/sessions/CopyReference.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief What an attempt tells a backend server in addition to the caller's request.
struct AttemptMetadata
{
    std::string_view serverId;               ///< no other server may run the request
    std::string_view account;                ///< client account; empty: public route
    std::chrono::milliseconds timeLeft {0};  ///< the server abandons the request after this
    std::optional<std::int64_t> lastEventId; ///< the stream resumes after this event
    std::optional<std::string> copyTo;       ///< IP:PORT of the server that keeps a copy of the run
    std::optional<CopyReference> fromCopy;   ///< the run resumes from it
    std::optional<std::uint32_t> urgency;    ///< 0 is the highest; none: not told
};

} // namespace foxtailring
