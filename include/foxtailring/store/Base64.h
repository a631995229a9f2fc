#pragma once

#include "foxtailring/base/Result.h"

#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Standard base64 with padding.
std::string toBase64(std::string_view bytes);
/// \brief Malformed when \a text is anything else than what toBase64() writes.
Result<std::string> fromBase64(std::string_view text);

} // namespace foxtailring
