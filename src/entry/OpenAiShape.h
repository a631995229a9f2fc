#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief JSON bodies of one answer in the shape of the OpenAI API.
struct OpenAiShape
{
    std::string requestId;
    std::string model;
    bool chat = false;
    std::int64_t created = 0; ///< seconds since 1970

    /// \param isFirst the chunk that names the role in a chat
    std::string chunk(std::string_view text, bool isFirst) const;
    std::string lastChunk(std::string_view finishReason) const;
    std::string usageChunk(std::uint64_t completionTokens) const;
    std::string whole(std::string_view text, std::string_view finishReason,
                      std::uint64_t completionTokens) const;
};

} // namespace foxtailring
