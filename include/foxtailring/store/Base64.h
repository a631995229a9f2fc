#pragma once

#include "foxtailring/base/Result.h"

#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Standard base64 (RFC 4648), padded.
std::string toBase64(std::string_view bytes);
/// \brief Decodes \a text; Malformed unless it is exactly what toBase64() writes.
Result<std::string> fromBase64(std::string_view text);

} // namespace foxtailring
