#include "foxtailring/decisions/generation/AnswerAssembler.h"

#include "foxtailring/protocol/Tokens.h"

#include <algorithm>

namespace foxtailring {

AnswerAssembler::AnswerAssembler(std::string requestId, std::uint64_t firstOffset)
    : m_requestId(std::move(requestId))
    , m_firstOffset(firstOffset)
{
}

AssemblyResult AnswerAssembler::accept(const Tokens &message)
{
    const TokensVerdict result = classify(message);
    countDropped(result);
    if (result != TokensVerdict::Added)
        return {result, {}};
    const std::size_t known = m_tokens.size();
    const auto firstNew = static_cast<std::ptrdiff_t>(nextOffset() - message.offset);
    m_tokens.insert(m_tokens.end(), message.tokens.begin() + firstNew, message.tokens.end());
    return {result, std::span<const Token>(m_tokens).subspan(known)};
}

TokensVerdict AnswerAssembler::classify(const Tokens &message) const
{
    if (message.requestId != m_requestId)
        return TokensVerdict::ForeignRequest;
    if (message.attempt != m_attempt)
        return TokensVerdict::OtherAttempt;
    if (message.offset > nextOffset())
        return TokensVerdict::Gap;
    if (!matchesKnownTokens(message))
        return TokensVerdict::Mismatch;
    // The subtraction cannot underflow: the offset is at most nextOffset().
    return message.tokens.size() > nextOffset() - message.offset ? TokensVerdict::Added
                                                                 : TokensVerdict::Duplicate;
}

// An attempt is resent from its journal, so repeated tokens are equal. Different ones belong to
// another run of the model and must not be mixed into this answer.
bool AnswerAssembler::matchesKnownTokens(const Tokens &message) const
{
    const std::uint64_t end = std::min(message.offset + message.tokens.size(), nextOffset());
    for (std::uint64_t i = std::max(message.offset, m_firstOffset); i < end; ++i) {
        const Token &known = m_tokens[i - m_firstOffset];
        const Token &repeated = message.tokens[i - message.offset];
        if (known.id != repeated.id || known.text != repeated.text)
            return false;
    }
    return true;
}

void AnswerAssembler::countDropped(TokensVerdict verdict)
{
    switch (verdict) {
    case TokensVerdict::Added:
        break;
    case TokensVerdict::Duplicate:
        ++m_dropped.duplicates;
        break;
    case TokensVerdict::ForeignRequest:
        ++m_dropped.foreignRequests;
        break;
    case TokensVerdict::OtherAttempt:
        ++m_dropped.otherAttempts;
        break;
    case TokensVerdict::Gap:
        ++m_dropped.gaps;
        break;
    case TokensVerdict::Mismatch:
        ++m_dropped.mismatches;
        break;
    }
}

} // namespace foxtailring
