#pragma once

#include "foxtailring/decisions/GenerationAction.h"
#include "foxtailring/decisions/GenerationSpec.h"
#include "foxtailring/protocol/Tokens.h"

#include <cstdint>
#include <string>

namespace foxtailring::test {

inline constexpr std::uint32_t answerTokens = 40;

// Two attempts agree only where the second one got the first one's tokens as its prefix.
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

/// \brief The first action of that type; nullptr when there is none.
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
