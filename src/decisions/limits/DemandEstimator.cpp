#include "foxtailring/decisions/limits/DemandEstimator.h"

#include <cmath>

namespace foxtailring {

namespace {

double decay(Duration elapsed)
{
    return std::exp(-std::chrono::duration<double>(elapsed).count()
                    / DemandEstimator::averagingSeconds);
}

} // namespace

void DemandEstimator::record(TimePoint now)
{
    m_rate = perSecond(now) + 1 / averagingSeconds;
    m_updatedAt = now;
}

double DemandEstimator::perSecond(TimePoint now) const
{
    return m_rate * decay(now - m_updatedAt);
}

} // namespace foxtailring
