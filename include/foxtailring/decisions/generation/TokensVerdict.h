#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief How AnswerAssembler treated a Tokens message.
enum class TokensVerdict : std::uint8_t {
    Added,          ///< some of its tokens extend the answer
    Duplicate,      ///< all of its tokens were known
    ForeignRequest, ///< it belongs to another request
    OtherAttempt,   ///< it does not belong to the current attempt
    Gap,            ///< tokens before it are missing
    Mismatch,       ///< it has other tokens at offsets already known
};

} // namespace foxtailring
