#include "KeyDigest.h"

#include <array>
#include <openssl/sha.h>

namespace foxtailring {

std::string sha256Hex(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4];
        hex += digits[byte & 0xf];
    }
    return hex;
}

} // namespace foxtailring
