#pragma once

#include "foxtailring/base/Clock.h"

namespace foxtailring {

/// \brief Exponential moving average of an event rate. Not thread-safe.
class DecayingRate
{
public:
    void recordEvent(TimePoint now);
    double perSecond(TimePoint now) const;

private:
    /// Short enough to track a sudden rise in demand, long enough to average a few events per
    /// second.
    static constexpr double timeConstantSeconds = 5;

    double m_perSecond = 0;
    TimePoint m_updatedAt;
};

} // namespace foxtailring
