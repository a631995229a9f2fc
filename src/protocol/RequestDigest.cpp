#include "foxtailring/protocol/RequestDigest.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <openssl/evp.h>

namespace foxtailring {

namespace {

// Ids of prompt parts hold no colon.
constexpr std::string_view digestPrefix = "request:";
// 160 bits: the time to find a second request with the same digest is out of reach.
constexpr std::size_t digestBytes = 20;
constexpr std::string_view hexDigits = "0123456789abcdef";

using Context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

// The length keeps two lists apart that are the same text when joined.
bool addField(EVP_MD_CTX *context, std::string_view field)
{
    std::array<std::uint8_t, 8> length {};
    std::uint64_t rest = field.size();
    for (std::uint8_t &byte : length) {
        byte = static_cast<std::uint8_t>(rest & 0xFFU);
        rest >>= 8U;
    }
    return EVP_DigestUpdate(context, length.data(), length.size()) == 1
        && EVP_DigestUpdate(context, field.data(), field.size()) == 1;
}

} // namespace

// Without the results, an error would give each request the digest of zeros.
std::string RequestDigest::of(std::span<const std::string_view> fields)
{
    const Context context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    if (!context || EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) != 1)
        return {};
    for (const std::string_view field : fields) {
        if (!addField(context.get(), field))
            return {};
    }
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> bytes {};
    if (EVP_DigestFinal_ex(context.get(), bytes.data(), nullptr) != 1)
        return {};
    std::string name(digestPrefix);
    for (std::size_t i = 0; i < digestBytes; ++i) {
        name.push_back(hexDigits[bytes[i] >> 4U]);
        name.push_back(hexDigits[bytes[i] & 0xFU]);
    }
    return name;
}

bool RequestDigest::isDigest(std::string_view name)
{
    return name.size() == digestPrefix.size() + 2 * digestBytes && name.starts_with(digestPrefix);
}

} // namespace foxtailring
