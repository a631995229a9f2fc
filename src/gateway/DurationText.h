#pragma once

#include "foxtailring/base/Clock.h"

#include <string>

namespace foxtailring {

/// \brief Whole milliseconds, as log lines have them.
std::string msText(Duration duration);

} // namespace foxtailring
