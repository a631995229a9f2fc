#pragma once

#include <string_view>

namespace foxtailring {

/// \brief Returns the title of \a status for problem bodies; that of 500 for an unknown status.
std::string_view statusTitle(int status);

} // namespace foxtailring
