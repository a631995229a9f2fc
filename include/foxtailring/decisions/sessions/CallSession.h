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
/// for each of them.
class CallSession : public ForwardSession
{
public:
    using ForwardSession::ForwardSession;

private:
    ForwardAction makeAttempt(std::string_view cause, TimePoint now) override;
    ForwardAction onLost(AttemptResult result, TimePoint now) override;
    void recordAnswerTime(const BackendInfo &server, const BackendAnswer &answer, Duration time,
                          TimePoint now) override;
    ForwardAction onOverdue(TimePoint now) override;
    TimePoint overdueAt() const override;
    TimePoint lastSignAt(TimePoint) const override { return sentAt(); }
    bool mayUseAnotherServer() const;
    /// The next attempt; none: no server.
    std::optional<SendAttempt> place(std::string_view cause, TimePoint now);

    bool m_isFinalAttempt = false; ///< no further attempt; waits until the deadline
    TimePoint m_overdueSince;      ///< start of the latest attempt that was overdue
};

} // namespace foxtailring
