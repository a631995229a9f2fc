#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/CallKind.h"

#include <optional>

namespace foxtailring {

/// \brief Decides which requests a draining process still accepts. Not thread-safe.
///
/// During a rolling restart, the load balancer keeps sending requests for some seconds. A stream
/// accepted late would be cut off when the process exits; if it is refused at once, the caller goes
/// to another process.
class DrainAdmission
{
public:
    /// \brief Starts draining; answers are sent until \a endsAt. Later calls have no effect.
    void begin(TimePoint now, TimePoint endsAt = TimePoint::max());
    bool isDraining() const { return m_startedAt.has_value(); }
    /// \brief True if a request that arrives now is expected to finish before the process exits.
    bool accepts(CallKind kind, TimePoint now) const;
    /// \brief Time limit of a call that arrives now, so that its caller gets an answer or a refusal
    /// before the process exits; none: not draining.
    std::optional<Duration> callTimeLimit(TimePoint now) const;

private:
    std::optional<TimePoint> m_startedAt;
    TimePoint m_endsAt;
};

} // namespace foxtailring
