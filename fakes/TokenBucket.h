#pragma once

#include "foxtailring/base/Clock.h"

namespace foxtailring::fakes {

/// \brief Token bucket that admits callers in the order in which they ask. Not thread-safe.
class TokenBucket
{
public:
    /// \param burst tokens that the full bucket holds, at least 1.
    TokenBucket(double tokensPerSecond, double burst);

    /// \brief Takes one token, in advance if need be; how long the caller has to wait for it.
    Duration take(TimePoint now);

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_updated;
};

} // namespace foxtailring::fakes
