#include "foxtailring/decisions/DrainAdmission.h"

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// A stream runs for most of the time that a process has to end.
constexpr milliseconds streamAdmissionTime {1000};
// By then the balancer has noticed.
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
