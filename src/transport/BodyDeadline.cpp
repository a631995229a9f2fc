#include "BodyDeadline.h"

#include <algorithm>

namespace foxtailring {

void BodyDeadline::reset()
{
    m_hasBegun = false;
    m_limit.reset();
}

void BodyDeadline::begin(TimePoint now)
{
    m_startedAt = now;
    m_hasBegun = true;
}

void BodyDeadline::extend(Limit limit, TimePoint now)
{
    // A body without a limit may have taken longer already than its first one allows.
    if (!m_limit)
        m_startedAt = now;
    m_limit = m_limit && limit ? std::max(*m_limit, *limit) : limit;
}

std::optional<BodyDeadline::TimePoint> BodyDeadline::endsAt() const
{
    if (!m_limit)
        return std::nullopt;
    return m_startedAt + *m_limit;
}

} // namespace foxtailring
