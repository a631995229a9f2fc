#include "foxtailring/entry/TokenText.h"

#include <utility>

namespace foxtailring {

namespace {

// A character has at most 4 bytes, so that more without an end are not UTF-8.
constexpr std::size_t maxHeldBytes = 16;

std::size_t sequenceLength(unsigned char lead)
{
    if (lead >= 0xf0)
        return 4;
    if (lead >= 0xe0)
        return 3;
    return lead >= 0xc0 ? 2 : 1;
}

bool endsWithinCharacter(std::string_view text)
{
    constexpr std::size_t maxContinuations = 3;
    for (std::size_t back = 1; back <= maxContinuations && back <= text.size(); ++back) {
        const auto byte = static_cast<unsigned char>(text[text.size() - back]);
        const bool isContinuation = (byte & 0xc0) == 0x80;
        if (!isContinuation)
            return sequenceLength(byte) > back;
    }
    return false;
}

} // namespace

std::optional<TokenText::Piece> TokenText::add(std::uint64_t offset, std::span<const Token> tokens)
{
    Piece piece;
    bool isComplete = false;
    for (const Token &token : tokens) {
        m_held += token.text;
        m_nextOffset = ++offset;
        if (endsWithinCharacter(m_held) && m_held.size() <= maxHeldBytes)
            continue;
        piece.text += std::exchange(m_held, {});
        piece.nextOffset = offset;
        isComplete = true;
    }
    return isComplete ? std::optional(std::move(piece)) : std::nullopt;
}

std::optional<TokenText::Piece> TokenText::flush()
{
    if (m_held.empty())
        return std::nullopt;
    return Piece {std::exchange(m_held, {}), m_nextOffset};
}

} // namespace foxtailring
