#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace foxtailring {

/// \brief Parses a JSON document of another process.
///
/// Returns a discarded value, for which `is_discarded()` holds, if \a text is not JSON or is nested
/// more deeply than any document that the system reads.
nlohmann::json parseJson(std::string_view text);

/// \brief As parseJson(), but a number beyond the range of a double is the largest double of its
/// sign, so that it costs a reader only the field that has it.
nlohmann::json parseJsonBoundingNumbers(std::string_view text);

} // namespace foxtailring
