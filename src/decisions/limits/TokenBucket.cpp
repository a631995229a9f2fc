#include "TokenBucket.h"

#include <algorithm>

namespace foxtailring {

void TokenBucket::configure(double tokensPerSecond, double maxTokens, TimePoint now)
{
    if (m_isNew) {
        m_tokens = maxTokens;
        m_refilledAt = now;
        m_isNew = false;
    }
    refill(now);
    m_tokensPerSecond = tokensPerSecond;
    m_maxTokens = maxTokens;
    m_tokens = std::min(m_tokens, maxTokens);
}

bool TokenBucket::tryTake(TimePoint now)
{
    refill(now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

Duration TokenBucket::timeUntilToken(TimePoint now)
{
    refill(now);
    if (m_tokens >= 1 || m_tokensPerSecond <= 0)
        return Duration {};
    const std::chrono::duration<double> wait((1 - m_tokens) / m_tokensPerSecond);
    // Rounded up, so that the token is available to a caller who waits exactly this long.
    return std::chrono::duration_cast<Duration>(wait) + Duration(1);
}

void TokenBucket::refill(TimePoint now)
{
    if (now <= m_refilledAt)
        return;
    const std::chrono::duration<double> passed = now - m_refilledAt;
    m_tokens = std::min(m_maxTokens, m_tokens + passed.count() * m_tokensPerSecond);
    m_refilledAt = now;
}

} // namespace foxtailring
