#pragma once

#include "foxtailring/base/Clock.h"

namespace foxtailring {

/// \brief Bucket of tokens that refills with time. Starts full. Not thread-safe.
class TokenBucket
{
public:
    /// \brief Takes over a new rate and maxTokens; tokens above the maxTokens are lost.
    void configure(double tokensPerSecond, double maxTokens, TimePoint now);
    bool tryTake(TimePoint now);
    /// \brief Time until a token is there.
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
