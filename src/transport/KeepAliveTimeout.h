#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace foxtailring {

/// \brief The `timeout` parameter of a Keep-Alive header; none if it has no such parameter.
///
/// An unreadable or negative value counts as 0, one above a day as a day.
std::optional<std::chrono::seconds> keepAliveTimeout(std::string_view header);

} // namespace foxtailring
