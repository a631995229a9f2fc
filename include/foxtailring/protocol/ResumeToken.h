#pragma once

#include "foxtailring/base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Names a position in an answer, so that any entry can go on with it.
///
/// Travels as the `id` field of server-sent events: base64url of a msgpack body and its
/// HMAC-SHA-256, joined by a dot.
struct ResumeToken
{
    std::string requestId;
    std::string account;
    std::string service;
    std::uint32_t attempt = 0;
    std::string serverAddress;    ///< IP:PORT of the sidecar that holds the journal
    std::uint64_t nextOffset = 0; ///< index of the first token that the caller does not have
    /// Hash of the request's content: a position in one answer is of no use to another request.
    std::string contentHash = {};

    std::string sign(std::string_view secret) const;

    /// \brief Unauthorized for a wrong signature, Malformed for anything else that is not a token.
    static Result<ResumeToken> verify(std::string_view text, std::string_view secret);
};

} // namespace foxtailring
