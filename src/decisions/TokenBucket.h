#pragma once

#include "foxtailring/base/Clock.h"

namespace foxtailring {

/// \brief Bucket of tokens that refills with time. Starts full. Not thread-safe.
class TokenBucket
{
public:
    /// \brief Takes over a new rate and size; tokens above the size are lost.
    void configure(double perSecond, double size, TimePoint now);
    bool tryTake(TimePoint now);
    /// \brief Time until a token is there.
    Duration timeToNext(TimePoint now);

private:
    void refill(TimePoint now);

    double m_perSecond = 0;
    double m_size = 0;
    double m_tokens = 0;
    TimePoint m_refilledAt;
    bool m_isNew = true;
};

} // namespace foxtailring
