#pragma once

#include "foxtailring/decisions/ForwardSession.h"

#include <optional>
#include <string_view>

namespace foxtailring {

/// \brief A request with a single, complete answer.
///
/// If the server fails, is full or does not answer, an idempotent request is retried at another
/// server while there is time; the first complete answer counts. Any other request is retried only
/// if it was not executed.
class CallSession : public ForwardSession
{
public:
    using ForwardSession::ForwardSession;

private:
    ForwardAction makeAttempt(std::string_view cause, TimePoint now) override;
    ForwardAction onLost(AttemptResult result, TimePoint now) override;
    ForwardAction onOverdue(TimePoint now) override;
    TimePoint overdueAt() const override;
    /// The next attempt; none: no server.
    std::optional<SendAttempt> place(std::string_view cause, TimePoint now);

    bool m_isFinalAttempt = false; ///< no further attempt; waits until the deadline
};

} // namespace foxtailring
