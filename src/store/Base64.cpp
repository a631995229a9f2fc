#include "foxtailring/store/Base64.h"

#include <openssl/evp.h>

namespace foxtailring {

std::string toBase64(std::string_view bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(length));
    return out;
}

Result<std::string> fromBase64(std::string_view text)
{
    std::string out(text.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    if (length < 0 || static_cast<std::size_t>(length) < padding)
        return Error {ErrorCode::Malformed, "value is not valid base64"};
    out.resize(static_cast<std::size_t>(length) - padding);
    // EVP_DecodeBlock() also accepts surrounding white space and padding inside the text.
    if (toBase64(out) != text)
        return Error {ErrorCode::Malformed, "value is not valid base64"};
    return out;
}

} // namespace foxtailring
