#pragma once

#include "foxtailring/decisions/CopyReference.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief What the gateway tells a backend server beside the caller's request.
struct AttemptMetadata
{
    std::string_view serverId;               ///< the only server that may run it
    std::string_view account;                ///< client account; empty: none
    std::chrono::milliseconds timeLeft {0};  ///< the server stops working after this
    std::optional<std::int64_t> lastEventId; ///< the stream goes on after this event
    std::optional<std::string> copyTo;       ///< IP:PORT of the server that keeps a copy of the run
    std::optional<CopyReference> fromCopy;   ///< the run goes on from it
};

} // namespace foxtailring
