#pragma once

#include "foxtailring/base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Body of `POST /v1/completions` or `POST /v1/chat/completions`.
struct CompletionRequest
{
    bool chat = false;
    bool stream = false;
    bool includeUsage = false;   ///< stream_options.include_usage
    std::string model;           ///< model or adapter
    std::string prompt;          ///< for chat: one `role: content` line for each message
    std::uint32_t maxTokens = 0; ///< 0: not given
    std::vector<std::string> stops;
    std::string samplingJson; ///< JSON object with every other member
    /// Hash of everything that has an influence on the answer, whatever its formatting.
    std::string contentHash;

    /// \brief InvalidArgument names the member at fault.
    static Result<CompletionRequest> parse(std::string_view body, bool chat);
};

} // namespace foxtailring
