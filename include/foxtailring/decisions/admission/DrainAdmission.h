#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/configuration/CallKind.h"

#include <optional>

namespace foxtailring {

/// \brief Decides which requests a draining process still accepts. Not thread-safe.
///
/// During a rolling restart, the load balancer keeps sending requests for some seconds. A request
/// that is passed on although it cannot be answered before the process exits is lost; if it is
/// refused at once, the caller goes to another process.
class DrainAdmission
{
public:
    struct Request
    {
        CallKind kind = CallKind::NonIdempotent;
        Duration timeLimit {0}; ///< the lesser of the route's timeout and the caller's patience
        Duration objective {0}; ///< of the route
        /// Longest recent answer to a call of the route, or estimated duration of the run; none:
        /// unknown.
        std::optional<Duration> usualDuration;
    };

    /// \brief Starts draining; answers are sent until \a endsAt. Later calls have no effect.
    void begin(TimePoint now, TimePoint endsAt = TimePoint::max());
    bool isDraining() const { return m_startedAt.has_value(); }
    /// \brief True if a request that arrives now is expected to finish before the process exits.
    bool accepts(const Request &request, TimePoint now) const;
    /// \brief Time limit of a request that arrives now, so that its caller gets an answer or a
    /// refusal before the process exits; none: not draining.
    std::optional<Duration> timeLimit(TimePoint now) const;
    /// \brief Time that must be left for sending a request that arrives now, also to another server
    /// after one has turned it away. 0: the drain does not shorten the request's time.
    Duration minAttemptTime(const Request &request, TimePoint now) const;

private:
    std::optional<TimePoint> m_startedAt;
    TimePoint m_endsAt;
};

} // namespace foxtailring
