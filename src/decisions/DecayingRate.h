#pragma once

#include "foxtailring/base/Clock.h"

namespace foxtailring {

/// \brief Events per second, averaged with exponential decay. Not thread-safe.
class DecayingRate
{
public:
    void recordEvent(TimePoint now);
    double perSecond(TimePoint now) const;

private:
    /// Short enough to follow a rain front of demand, long enough for a few events per second.
    static constexpr double timeConstantSeconds = 5;

    double m_perSecond = 0;
    TimePoint m_updatedAt;
};

} // namespace foxtailring
