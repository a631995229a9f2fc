#include "foxtailring/decisions/membership/ReporterClock.h"

#include <algorithm>

namespace foxtailring {

using std::chrono::milliseconds;

ReporterClock::ReporterClock(Duration earliestOffset, Duration latestOffset)
    : m_earliestOffset(earliestOffset)
    , m_latestOffset(latestOffset)
{
}

ReporterClock ReporterClock::thatShowed(std::int64_t ms, TimeBounds bounds)
{
    const TimePoint shown {milliseconds(ms)};
    return ReporterClock(bounds.earliest - shown, bounds.latest - shown);
}

void ReporterClock::narrow(const ReporterClock &other)
{
    const Duration earliest = std::max(m_earliestOffset, other.m_earliestOffset);
    const Duration latest = std::min(m_latestOffset, other.m_latestOffset);
    if (earliest > latest)
        return;
    m_earliestOffset = earliest;
    m_latestOffset = latest;
}

TimeBounds ReporterClock::boundsOf(std::int64_t ms) const
{
    const TimePoint shown {milliseconds(ms)};
    return {shown + m_earliestOffset, shown + m_latestOffset};
}

} // namespace foxtailring
