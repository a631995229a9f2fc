#pragma once

#include "foxtailring/decisions/generation/AssemblyResult.h"
#include "foxtailring/decisions/generation/DroppedMessageCounts.h"
#include "foxtailring/protocol/Token.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace foxtailring {

struct Tokens;

/// \brief Collects the tokens of one answer in order.
///
/// Drops and counts messages that belong to another request or attempt, add no token, follow a gap,
/// or contradict known tokens.
class AnswerAssembler
{
public:
    /// \param firstOffset index in the whole answer of the first token to collect
    explicit AnswerAssembler(std::string requestId, std::uint64_t firstOffset = 0);

    /// \brief Accepts only messages of \a attempt from now on.
    void openAttempt(std::uint32_t attempt) { m_attempt = attempt; }
    /// \brief Drops all messages until openAttempt() is called.
    void closeAttempt() { m_attempt.reset(); }

    /// \brief Appends the tokens of \a message that extend the answer, or drops the message.
    AssemblyResult accept(const Tokens &message);

    std::uint64_t firstOffset() const { return m_firstOffset; }
    /// \brief Index in the whole answer of the next token to collect.
    std::uint64_t nextOffset() const { return m_firstOffset + m_tokens.size(); }
    /// \brief Tokens from firstOffset() on.
    std::span<const Token> tokens() const { return m_tokens; }
    const DroppedMessageCounts &dropped() const { return m_dropped; }

private:
    TokensVerdict classify(const Tokens &message) const;
    bool matchesKnownTokens(const Tokens &message) const;
    void countDropped(TokensVerdict verdict);

    std::string m_requestId;
    std::uint64_t m_firstOffset;
    std::optional<std::uint32_t> m_attempt;
    std::vector<Token> m_tokens;
    DroppedMessageCounts m_dropped;
};

} // namespace foxtailring
