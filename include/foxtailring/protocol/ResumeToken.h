#pragma once

#include "foxtailring/base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Position in an answer from which any entry can resume the stream.
///
/// Sent as the `id` field of server-sent events: the base64url of a msgpack body and of its
/// HMAC-SHA-256, joined by a dot.
struct ResumeToken
{
    std::string requestId;
    std::string account;
    std::string service;
    std::uint32_t attempt = 0;
    std::string serverAddress;    ///< IP:PORT of the sidecar that has the journal
    std::uint64_t nextOffset = 0; ///< index of the first token that the caller has not received
    /// Hash of the request content, so that the token cannot resume another request.
    std::string contentHash = {};

    /// \brief Encodes the position and signs it with \a secret.
    std::string sign(std::string_view secret) const;

    /// \brief Unauthorized when the signature is wrong, Malformed when \a text cannot be decoded.
    static Result<ResumeToken> verify(std::string_view text, std::string_view secret);
};

} // namespace foxtailring
