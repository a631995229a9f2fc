#pragma once

#include <chrono>

namespace foxtailring {

/// \brief A random time from half of \a maxDelay to \a maxDelay, so that entries do not act in
/// step.
std::chrono::milliseconds jittered(std::chrono::milliseconds maxDelay);

} // namespace foxtailring
