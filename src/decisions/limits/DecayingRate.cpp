#include "DecayingRate.h"

#include <cmath>

namespace foxtailring {

void DecayingRate::recordEvent(TimePoint now)
{
    m_perSecond = perSecond(now) + 1 / timeConstantSeconds;
    m_updatedAt = now;
}

double DecayingRate::perSecond(TimePoint now) const
{
    const std::chrono::duration<double> passed = now - m_updatedAt;
    return m_perSecond * std::exp(-passed.count() / timeConstantSeconds);
}

} // namespace foxtailring
