#pragma once

#include <string_view>

namespace foxtailring {

/// \brief Compares two texts, such as names of headers, without regard to the case of ASCII
/// letters.
bool equalIgnoringCase(std::string_view a, std::string_view b);

} // namespace foxtailring
