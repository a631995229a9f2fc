#include "foxtailring/base/Clock.h"

#include <ctime>

namespace foxtailring {

Clock steadyClock()
{
    return [] { return std::chrono::steady_clock::now(); };
}

Clock bootClock()
{
    return [] {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec)
                         + std::chrono::nanoseconds(time.tv_nsec));
    };
}

} // namespace foxtailring
