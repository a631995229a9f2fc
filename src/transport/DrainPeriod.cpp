#include "DrainPeriod.h"

#include <algorithm>

namespace foxtailring {

std::chrono::milliseconds DrainPeriod::timeLeft(TimePoint now) const
{
    const auto age = now - m_startedAt;
    const auto left = std::max(longestTime - age, decltype(age)::zero());
    return std::min(quietTime, std::chrono::ceil<std::chrono::milliseconds>(left));
}

} // namespace foxtailring
