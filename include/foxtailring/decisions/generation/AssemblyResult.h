#pragma once

#include "foxtailring/decisions/generation/TokensVerdict.h"
#include "foxtailring/protocol/Token.h"

#include <span>

namespace foxtailring {

/// \brief Result of AnswerAssembler::accept().
struct AssemblyResult
{
    TokensVerdict verdict = TokensVerdict::Duplicate;
    std::span<const Token> added; ///< tokens appended; valid until the next accept()
};

} // namespace foxtailring
