#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace foxtailring {

/// \brief Value of `wait=SECONDS` in a `Prefer` header (RFC 7240); nothing when there is none.
std::optional<std::chrono::seconds> preferredWait(std::string_view prefer);

} // namespace foxtailring
