#pragma once

#include "foxtailring/decisions/TokensVerdict.h"
#include "foxtailring/protocol/Token.h"

#include <span>

namespace foxtailring {

/// \brief Result of one Tokens message.
struct AssemblyResult
{
    TokensVerdict verdict = TokensVerdict::Duplicate;
    std::span<const Token> added; ///< valid until the next message
};

} // namespace foxtailring
