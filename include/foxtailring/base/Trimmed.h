#pragma once

#include <string_view>

namespace foxtailring {

/// \brief Returns \a text without the \a characters at its beginning and end.
inline std::string_view trimmed(std::string_view text, std::string_view characters)
{
    const auto first = text.find_first_not_of(characters);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(characters) - first + 1);
}

} // namespace foxtailring
