#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief 64-bit xxHash of \a bytes; the same on every node.
std::uint64_t keyHash(std::string_view bytes, std::uint64_t seed = 0);

/// \brief 128-bit xxHash of \a bytes as 32 hexadecimal digits, to compare request bodies.
std::string bodyHash(std::string_view bytes);

} // namespace foxtailring
