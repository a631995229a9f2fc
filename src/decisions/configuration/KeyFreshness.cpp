#include "foxtailring/decisions/configuration/KeyFreshness.h"

#include <algorithm>

namespace foxtailring {

void KeyFreshness::recordConfirmation(TimePoint queriedAt)
{
    if (queriedAt < m_confirmableFrom)
        return;
    m_confirmedAt = std::max(m_confirmedAt.value_or(queriedAt), queriedAt);
}

bool KeyFreshness::isFresh(TimePoint now) const
{
    return m_confirmedAt && now - *m_confirmedAt < m_limit;
}

std::optional<Duration> KeyFreshness::age(TimePoint now) const
{
    if (!m_confirmedAt)
        return std::nullopt;
    return now - *m_confirmedAt;
}

} // namespace foxtailring
