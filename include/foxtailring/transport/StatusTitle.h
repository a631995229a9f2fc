#pragma once

#include <string_view>

namespace foxtailring {

/// \brief Reason phrase of an HTTP status, for problem bodies; that of 500 when it is not known.
std::string_view statusTitle(int status);

} // namespace foxtailring
