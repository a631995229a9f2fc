#include "foxtailring/decisions/admission/DrainAdmission.h"

#include <algorithm>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// A stream takes most of the time that a process has for draining.
constexpr milliseconds streamAdmissionTime {1000};
// The load balancer has stopped sending by then.
constexpr milliseconds callAdmissionTime {5000};
// Answers that take longer than this multiple of the usual duration are lost to the end of the
// process. For a non-idempotent call, the caller can then not find out what became of it.
constexpr int usualDurations = 2;
constexpr int usualDurationsIfNonIdempotent = 3;

// With nothing known, only the time limit bounds the duration.
Duration expectedDuration(const DrainAdmission::Request &request)
{
    if (!request.usualDuration)
        return request.timeLimit;
    const int factor =
        request.kind == CallKind::NonIdempotent ? usualDurationsIfNonIdempotent : usualDurations;
    return std::min(request.timeLimit,
                    std::max(request.objective, factor * *request.usualDuration));
}

} // namespace

void DrainAdmission::begin(TimePoint now, TimePoint endsAt)
{
    if (m_startedAt)
        return;
    m_startedAt = now;
    m_endsAt = endsAt;
}

bool DrainAdmission::accepts(const Request &request, TimePoint now) const
{
    if (!m_startedAt)
        return true;
    const milliseconds admissionTime =
        request.kind == CallKind::Stream ? streamAdmissionTime : callAdmissionTime;
    return now - *m_startedAt < admissionTime && expectedDuration(request) <= m_endsAt - now;
}

std::optional<Duration> DrainAdmission::timeLimit(TimePoint now) const
{
    if (!m_startedAt)
        return std::nullopt;
    return std::max(m_endsAt - now, Duration::zero());
}

Duration DrainAdmission::minAttemptTime(const Request &request, TimePoint now) const
{
    const auto limit = timeLimit(now);
    return limit && *limit < request.timeLimit ? expectedDuration(request) : Duration::zero();
}

} // namespace foxtailring
