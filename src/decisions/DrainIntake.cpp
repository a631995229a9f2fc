#include "foxtailring/decisions/DrainIntake.h"

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// A stream runs for most of the time that a process has to end.
constexpr milliseconds streamIntake {1000};
// By then the balancer has noticed.
constexpr milliseconds callIntake {5000};

} // namespace

bool DrainIntake::takes(CallKind kind, TimePoint now) const
{
    if (!m_begunAt)
        return true;
    return now - *m_begunAt < (kind == CallKind::Stream ? streamIntake : callIntake);
}

} // namespace foxtailring
