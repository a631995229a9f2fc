#pragma once

#include "foxtailring/base/Clock.h"

namespace foxtailring {

/// \brief Exponentially weighted rate of events, per second. Not thread-safe.
class DemandEstimator
{
public:
    static constexpr double averagingSeconds = 8;

    void record(TimePoint now);
    double perSecond(TimePoint now) const;

private:
    double m_rate = 0;
    TimePoint m_updatedAt;
};

} // namespace foxtailring
