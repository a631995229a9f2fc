#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Request parameters of a generation, and how its caller can resume it.
struct GenerationSpec
{
    std::string requestId;
    std::uint32_t maxTokens = 0; ///< tokens of the whole answer
    std::vector<std::string> stopSequences;
    TimePoint deadline;
    std::uint64_t callerOffset = 0; ///< first token that the caller does not have
    bool isStreamed = false;        ///< the caller gets a resume token with the first token
    bool hasIdempotencyKey = false; ///< the caller can return with its key
};

} // namespace foxtailring
