#pragma once

#include "foxtailring/decisions/generation/AttemptEnd.h"
#include "foxtailring/protocol/Token.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace foxtailring {

/// \brief Consecutive tokens of one attempt.
struct JournalSlice
{
    std::uint64_t offset = 0; ///< index in the whole answer of the first token
    std::vector<Token> tokens;
    std::optional<AttemptEnd> end; ///< set if the attempt ended after the last of these tokens

    std::uint64_t nextOffset() const { return offset + tokens.size(); }
};

} // namespace foxtailring
