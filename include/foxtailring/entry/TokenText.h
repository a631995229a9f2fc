#pragma once

#include "foxtailring/protocol/Token.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace foxtailring {

/// \brief Joins the text of tokens and holds back those that end within a UTF-8 character.
class TokenText
{
public:
    struct Piece
    {
        std::string text;
        std::uint64_t nextOffset = 0; ///< index of the first token that is not in it
    };

    /// \brief The text that is complete after these tokens; none when all of it is held back.
    std::optional<Piece> add(std::uint64_t offset, std::span<const Token> tokens);
    /// \brief What is still held back, complete or not.
    std::optional<Piece> flush();

private:
    std::string m_held;
    std::uint64_t m_nextOffset = 0;
};

} // namespace foxtailring
