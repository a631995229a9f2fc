#pragma once

#include <chrono>
#include <functional>

namespace foxtailring {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// \brief Hook that returns the current monotonic time. Tests pass a clock they set by hand.
using Clock = std::function<TimePoint()>;

/// \brief The machine's monotonic clock.
Clock steadyClock();

/// \brief A monotonic clock that also counts the time for which the machine was suspended.
Clock bootClock();

} // namespace foxtailring
