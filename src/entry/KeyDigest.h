#pragma once

#include <string>
#include <string_view>

namespace foxtailring {

/// \brief SHA-256 of \a key as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view key);

} // namespace foxtailring
