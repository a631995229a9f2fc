#pragma once

#include "foxtailring/decisions/generation/GenerationAction.h"
#include "foxtailring/decisions/generation/GenerationSpec.h"
#include "foxtailring/protocol/Tokens.h"

#include <cstdint>
#include <string>

namespace foxtailring::test {

inline constexpr std::uint32_t answerTokens = 40;

// The token depends on the attempt, so that answers mixed from two attempts are detected.
inline Token tokenAfter(std::uint64_t index, std::uint32_t attempt)
{
    const auto id = static_cast<std::int64_t>(index * 100 + attempt);
    return Token {id, std::to_string(id) + ' '};
}

inline GenerationSpec spec()
{
    GenerationSpec out;
    out.requestId = "r";
    out.maxTokens = answerTokens;
    out.deadline = TimePoint(std::chrono::hours(2));
    out.isStreamed = true;
    return out;
}

inline Tokens tokensMessage(std::uint32_t attempt, std::uint64_t offset, std::uint64_t count)
{
    Tokens out {"r", attempt, offset, {}};
    for (std::uint64_t i = 0; i < count; ++i)
        out.tokens.push_back(tokenAfter(offset + i, attempt));
    return out;
}

/// \brief Returns the first action of type Wanted, or nullptr if there is none.
template <typename Wanted>
const Wanted *find(const GenerationActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *found = std::get_if<Wanted>(&action))
            return found;
    }
    return nullptr;
}

} // namespace foxtailring::test
