#include "foxtailring/decisions/KeyFreshness.h"

#include <algorithm>

namespace foxtailring {

void KeyFreshness::recordProof(TimePoint askedAt)
{
    m_provedAt = std::max(m_provedAt.value_or(askedAt), askedAt);
}

bool KeyFreshness::isFresh(TimePoint now) const
{
    return m_provedAt && now - *m_provedAt < m_limit;
}

std::optional<Duration> KeyFreshness::age(TimePoint now) const
{
    if (!m_provedAt)
        return std::nullopt;
    return now - *m_provedAt;
}

} // namespace foxtailring
