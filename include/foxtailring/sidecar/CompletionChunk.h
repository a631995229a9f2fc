#pragma once

#include "foxtailring/protocol/Token.h"

#include <string>
#include <vector>

namespace foxtailring {

/// \brief One event of an engine's completion stream.
struct CompletionChunk
{
    std::vector<Token> tokens;
    std::string finishReason; ///< empty: more follows
};

} // namespace foxtailring
