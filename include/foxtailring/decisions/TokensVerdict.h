#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief What AnswerAssembler made of one Tokens message.
enum class TokensVerdict : std::uint8_t {
    Added,          ///< some of its tokens extend the answer
    Duplicate,      ///< every token of it was there already
    ForeignRequest, ///< it belongs to another request
    OtherAttempt,   ///< it belongs to an attempt that is not the current one
    Gap,            ///< tokens before it are missing
    Mismatch,       ///< it repeats tokens with other content
};

} // namespace foxtailring
