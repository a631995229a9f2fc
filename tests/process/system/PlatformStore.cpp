#include "PlatformStore.h"

#include "foxtailring/decisions/configuration/StoredResource.h"

#include <array>
#include <openssl/evp.h>
#include <openssl/sha.h>

namespace foxtailring::harness {

namespace {

std::string base64(const std::string &text)
{
    std::string out(4 * ((text.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

} // namespace

PlatformStore::PlatformStore(std::uint16_t port)
    : m_client(port)
{
}

std::int64_t PlatformStore::put(const std::string &kind, const std::string &name,
                                const nlohmann::json &spec)
{
    StoredResource resource;
    resource.kind = kind;
    resource.name = name;
    resource.writer = "process-test";
    resource.changeId = "process-test-" + std::to_string(++m_changeCount);
    resource.spec = spec.dump();
    const nlohmann::json reply =
        m_client.post("/v3/kv/put",
                      {{"key", base64("/foxtailring/resources/" + kind + '/' + name)},
                       {"value", base64(resource.toJson())}});
    return std::stoll(reply["header"]["revision"].get<std::string>());
}

std::string sha256(const std::string &text)
{
    constexpr const char *digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string out;
    for (const unsigned char byte : digest) {
        out += digits[byte >> 4];
        out += digits[byte & 15];
    }
    return out;
}

} // namespace foxtailring::harness
