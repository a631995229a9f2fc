#pragma once

#include "OpenAiShape.h"

#include <string>

namespace foxtailring {

/// \brief What an AnswerWriter needs to know of its request.
struct AnswerOptions
{
    OpenAiShape shape;
    std::string secret;      ///< signs resume tokens
    std::string traceparent; ///< sent back to the caller
    bool includeUsage = false;
};

} // namespace foxtailring
