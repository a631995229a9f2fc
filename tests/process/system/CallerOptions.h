#pragma once

#include "Wait.h"

#include <cstddef>
#include <string>

namespace foxtailring::harness {

/// \brief One request for a streamed answer.
struct CallerOptions
{
    std::string prompt = "condition of the reach";
    std::size_t maxTokens = 120;
    std::string apiKey = "electricians-key";
    std::string idempotencyKey = {};
    /// Reconnects with the Idempotency-Key only, and receives the answer from its start.
    bool discardsEventIds = false;
    std::size_t firstEntry = 0; ///< index; each reconnect goes to the next entry
    std::chrono::milliseconds timeout = defaultTimeout;
};

} // namespace foxtailring::harness
