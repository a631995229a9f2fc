#include "foxtailring/protocol/ResumeToken.h"

#include <array>
#include <msgpack.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <span>
#include <vector>

namespace foxtailring {

namespace {

using Fields = std::tuple<std::string, std::string, std::string, std::uint32_t, std::string,
                          std::uint64_t, std::string>;

std::string toBase64Url(std::string_view bytes)
{
    std::vector<unsigned char> out((bytes.size() + 2) / 3 * 4 + 1);
    const int length =
        EVP_EncodeBlock(out.data(), reinterpret_cast<const unsigned char *>(bytes.data()),
                        static_cast<int>(bytes.size()));
    std::string text(out.begin(), out.begin() + length);
    for (char &c : text) {
        if (c == '+')
            c = '-';
        else if (c == '/')
            c = '_';
    }
    text.erase(text.find_last_not_of('=') + 1);
    return text;
}

Result<std::string> fromBase64Url(std::string_view text)
{
    std::string padded(text);
    for (char &c : padded) {
        if (c == '-')
            c = '+';
        else if (c == '_')
            c = '/';
    }
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::string out(padded.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                       reinterpret_cast<const unsigned char *>(padded.data()),
                                       static_cast<int>(padded.size()));
    if (padding == 3 || length < 0)
        return Error {ErrorCode::Malformed, "resume token is not valid base64url"};
    out.resize(static_cast<std::size_t>(length) - padding);
    return out;
}

std::string hmac(std::string_view bytes, std::string_view secret)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data(),
         &length);
    return {digest.begin(), digest.begin() + length};
}

bool isEqualInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

std::string ResumeToken::sign(std::string_view secret) const
{
    msgpack::sbuffer buffer;
    msgpack::pack(
        buffer,
        Fields(requestId, account, service, attempt, serverAddress, nextOffset, contentHash));
    const std::string_view body(buffer.data(), buffer.size());
    return toBase64Url(body) + '.' + toBase64Url(hmac(body, secret));
}

Result<ResumeToken> ResumeToken::verify(std::string_view text, std::string_view secret)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return Error {ErrorCode::Malformed, "resume token has no signature"};
    const auto body = fromBase64Url(text.substr(0, dot));
    if (!body)
        return body.error();
    const auto signature = fromBase64Url(text.substr(dot + 1));
    if (!signature)
        return signature.error();
    if (!isEqualInConstantTime(signature.value(), hmac(body.value(), secret)))
        return Error {ErrorCode::Unauthorized, "resume token has a wrong signature"};
    try {
        const auto handle = msgpack::unpack(body.value().data(), body.value().size());
        auto fields = handle.get().as<Fields>();
        return ResumeToken {std::move(std::get<0>(fields)), std::move(std::get<1>(fields)),
                            std::move(std::get<2>(fields)), std::get<3>(fields),
                            std::move(std::get<4>(fields)), std::get<5>(fields),
                            std::move(std::get<6>(fields))};
    } catch (const std::exception &) {
        return Error {ErrorCode::Malformed, "resume token body cannot be decoded"};
    }
}

} // namespace foxtailring
