#pragma once

#include "foxtailring/base/Clock.h"

namespace foxtailring {

/// \brief Token bucket rate limiter that starts full. Not thread-safe.
class TokenBucket
{
public:
    /// \brief Sets the rate and the size; tokens above \a maxTokens are lost.
    void configure(double tokensPerSecond, double maxTokens, TimePoint now);
    bool tryTake(TimePoint now);
    /// \brief Time until a token is available; zero if one is now, or if the rate is zero.
    Duration timeUntilToken(TimePoint now);

private:
    void refill(TimePoint now);

    double m_tokensPerSecond = 0;
    double m_maxTokens = 0;
    double m_tokens = 0;
    TimePoint m_refilledAt;
    bool m_isNew = true;
};

} // namespace foxtailring
