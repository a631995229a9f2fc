#include "foxtailring/sidecar/StoredAnswer.h"

#include <msgpack.hpp>
#include <openssl/evp.h>
#include <tuple>

namespace foxtailring {

namespace {

using Fields = std::tuple<std::vector<HttpHeader>, std::string>;

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string StoredAnswer::encode(const HttpResponse &response)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, Fields(response.headers, response.body));
    // OpenSSL writes a final zero byte.
    std::string text((buffer.size() + 2) / 3 * 4 + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                        bytesOf({buffer.data(), buffer.size()}), static_cast<int>(buffer.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

Result<HttpResponse> StoredAnswer::decode(std::string_view text)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       bytesOf(text), static_cast<int>(text.size()));
    if (length < 0)
        return Error {ErrorCode::Malformed, "the stored answer is not base64"};
    try {
        // The padding of base64 leaves up to two bytes after the object.
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset);
        auto fields = handle.get().as<Fields>();
        return HttpResponse {0, std::move(std::get<0>(fields)), std::move(std::get<1>(fields))};
    } catch (const std::exception &exception) {
        return Error {ErrorCode::Malformed, std::string("the stored answer: ") + exception.what()};
    }
}

} // namespace foxtailring
