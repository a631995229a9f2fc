#include "TokenBucket.h"

#include <algorithm>

namespace foxtailring::fakes {

using Seconds = std::chrono::duration<double>;

TokenBucket::TokenBucket(double tokensPerSecond, double burst)
    : m_perSecond(tokensPerSecond)
    , m_burst(burst)
    , m_tokens(burst)
{
}

Duration TokenBucket::take(TimePoint now)
{
    const double refill = Seconds(now - m_updated).count() * m_perSecond;
    m_tokens = std::min(m_burst, m_tokens + refill) - 1.0;
    m_updated = now;
    if (m_tokens >= 0.0)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(Seconds(-m_tokens / m_perSecond));
}

} // namespace foxtailring::fakes
