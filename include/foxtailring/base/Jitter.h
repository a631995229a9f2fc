#pragma once

#include <chrono>

namespace foxtailring {

/// \brief A random delay between half of \a maxDelay and \a maxDelay, so that processes do not act
/// in step.
std::chrono::milliseconds jittered(std::chrono::milliseconds maxDelay);

} // namespace foxtailring
