#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief What a generation has to deliver, and to whom.
struct GenerationSpec
{
    std::string requestId;
    std::uint32_t maxTokens = 0;            ///< tokens of the whole answer
    std::vector<std::string> stopSequences; ///< the caller's stop sequences
    TimePoint deadline;
    std::uint64_t callerOffset = 0; ///< first token that the caller does not have
    bool isStreamed = false;        ///< the caller holds a resume token after the first token
    bool hasIdempotencyKey = false; ///< the caller can come back with its idempotency key
};

} // namespace foxtailring
