#include "foxtailring/decisions/DrainAdmission.h"

#include <algorithm>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// A stream takes most of the time that a process has for draining.
constexpr milliseconds streamAdmissionTime {1000};
// The load balancer has stopped sending by then.
constexpr milliseconds callAdmissionTime {5000};

} // namespace

void DrainAdmission::begin(TimePoint now, TimePoint endsAt)
{
    if (m_startedAt)
        return;
    m_startedAt = now;
    m_endsAt = endsAt;
}

bool DrainAdmission::accepts(CallKind kind, TimePoint now) const
{
    if (!m_startedAt)
        return true;
    return now - *m_startedAt
        < (kind == CallKind::Stream ? streamAdmissionTime : callAdmissionTime);
}

std::optional<Duration> DrainAdmission::callTimeLimit(TimePoint now) const
{
    if (!m_startedAt)
        return std::nullopt;
    return std::max(m_endsAt - now, Duration::zero());
}

} // namespace foxtailring
