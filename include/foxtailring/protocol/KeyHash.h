#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief 64-bit XXH3 hash of \a bytes, identical on every node.
std::uint64_t keyHash(std::string_view bytes, std::uint64_t seed = 0);

/// \brief 128-bit XXH3 hash of \a bytes as 32 lower-case hexadecimal digits.
std::string bodyHash(std::string_view bytes);

} // namespace foxtailring
