#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/HttpResponse.h"

#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Headers and body of a response as text that a claim keeps: base64 of msgpack.
struct StoredAnswer
{
    static std::string encode(const HttpResponse &response);
    /// \brief Malformed when \a text is not from encode(). The status is not part of it.
    static Result<HttpResponse> decode(std::string_view text);
};

} // namespace foxtailring
