#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>

namespace foxtailring {

/// \brief Time of an event on both clocks.
struct ClockReadings
{
    TimePoint monotonic;
    std::int64_t unixSeconds = 0; ///< wall clock
};

} // namespace foxtailring
