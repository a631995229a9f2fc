#pragma once

#include <chrono>

namespace foxtailring {

/// \brief A random time from half of \a most to \a most, so that entries do not act in step.
std::chrono::milliseconds jittered(std::chrono::milliseconds most);

} // namespace foxtailring
