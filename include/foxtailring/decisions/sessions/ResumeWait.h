#pragma once

#include "foxtailring/base/Clock.h"

#include <string>
#include <string_view>

namespace foxtailring {

class RandomSource;
class RetryBudget;
struct HttpRoute;

/// \brief When a stream that has begun and has no attempt looks again for a retry or a server, and
/// until when that is of use to its caller.
///
/// Counted in the retry budget while it lasts. Not thread-safe.
class ResumeWait
{
public:
    /// \param service may change; it and the others must outlive the object
    ResumeWait(const HttpRoute &route, const std::string &service, RetryBudget &budget,
               RandomSource &random);
    /// \brief Ends the wait.
    ~ResumeWait();
    ResumeWait(const ResumeWait &) = delete;
    ResumeWait &operator=(const ResumeWait &) = delete;

    /// \brief The caller was passed an event.
    void recordEvent(TimePoint now) { m_lastEventAt = now; }
    /// \brief Starts the wait, or goes on with it after a look that found nothing.
    /// \param reason what is missing; a literal
    /// \param needed time until that may be there; 0: unknown
    /// \return true if the wait or its reason is new
    bool start(std::string_view reason, Duration needed, TimePoint now);
    void end();
    bool isActive() const { return m_isActive; }
    /// \brief True if the caller still waits for the next event.
    bool isOfUse(TimePoint now) const { return now < callerLeavesAt(); }
    /// \brief When to look again, or the wait is of no more use; never if it is not active.
    TimePoint nextLook() const;

private:
    TimePoint callerLeavesAt() const { return m_lastEventAt + m_maxGap; }

    const Duration m_maxGap; ///< between two events, after which the caller gives up
    const std::string &m_service;
    RetryBudget &m_budget;
    RandomSource &m_random;
    TimePoint m_lastEventAt;
    TimePoint m_lookAt;
    std::string_view m_reason;
    bool m_isActive = false;
};

} // namespace foxtailring
