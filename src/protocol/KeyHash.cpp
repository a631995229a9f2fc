#include "foxtailring/protocol/KeyHash.h"

#include <xxhash.h>

namespace foxtailring {

std::uint64_t keyHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string bodyHash(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (const XXH64_hash_t half : {hash.high64, hash.low64}) {
        for (int shift = 60; shift >= 0; shift -= 4)
            out += digits[(half >> shift) & 0xf];
    }
    return out;
}

} // namespace foxtailring
