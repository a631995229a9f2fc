#include "foxtailring/decisions/DrainAdmission.h"

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// A stream takes most of the time that a process has for draining.
constexpr milliseconds streamAdmissionTime {1000};
// The load balancer has stopped sending by then.
constexpr milliseconds callAdmissionTime {5000};

} // namespace

bool DrainAdmission::accepts(CallKind kind, TimePoint now) const
{
    if (!m_startedAt)
        return true;
    return now - *m_startedAt
        < (kind == CallKind::Stream ? streamAdmissionTime : callAdmissionTime);
}

} // namespace foxtailring
