#pragma once

#include <chrono>
#include <functional>

namespace foxtailring {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// \brief Function that returns the current monotonic time. Tests pass one that they set by hand.
using Clock = std::function<TimePoint()>;

/// \brief CLOCK_MONOTONIC, which stops while the machine is suspended.
Clock steadyClock();

/// \brief CLOCK_BOOTTIME, a monotonic clock that includes the time the machine was suspended.
Clock bootClock();

} // namespace foxtailring
