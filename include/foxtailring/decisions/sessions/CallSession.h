#pragma once

#include "foxtailring/decisions/sessions/ForwardSession.h"

#include <optional>
#include <string_view>

namespace foxtailring {

/// \brief A request with a single, complete answer.
///
/// If the server fails, is full or does not answer, an idempotent request is retried at another
/// server while there is time; the first complete answer counts. Any other request is retried only
/// if it was not executed. Whether a server that does not answer in time has crashed is found out
/// for each of them. If SecondAttempts are made, an idempotent request whose answer is slow is sent
/// to another server that has a free slot.
class CallSession : public ForwardSession
{
public:
    using ForwardSession::ForwardSession;

private:
    ForwardAction makeAttempt(std::string_view cause, TimePoint now) override;
    ForwardAction onLost(AttemptResult result, TimePoint now) override;
    void recordAnswerTime(const BackendState &server, const BackendAnswer &answer, Duration time,
                          TimePoint now) override;
    void recordCancelled(const BackendState &server, Duration time, TimePoint now) override;
    ForwardAction onOverdue(TimePoint now) override;
    TimePoint overdueAt() const override;
    TimePoint lastSignAt(TimePoint) const override { return sentAt(); }
    /// When the answer to an attempt that was sent then is considered lost.
    TimePoint silentAt(TimePoint sent) const;
    ForwardAction onSilent(TimePoint now);
    ForwardAction onSlow(TimePoint now);
    /// Why no second attempt is made now; empty: one may be made.
    std::string_view denialOfSecondAttempt(TimePoint now) const;
    bool mayUseAnotherServer() const;
    /// The next attempt; none: no server.
    /// \param exclude ids of servers beside those that were tried
    std::optional<SendAttempt> place(std::string_view cause, std::span<const std::string> exclude,
                                     TimePoint now);
    /// Ids of the servers that a second attempt must not use.
    std::vector<std::string> busyServers(TimePoint now) const;

    bool m_isFinalAttempt = false;         ///< no further attempt; waits until the deadline
    TimePoint m_overdueSince;              ///< start of the latest attempt that was overdue
    TimePoint m_slowAt = TimePoint::max(); ///< when the first attempt is slow
    TimePoint m_fallbackSilentAt = TimePoint::max(); ///< when the fallback's answer counts as lost
};

} // namespace foxtailring
