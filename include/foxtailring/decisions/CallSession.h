#pragma once

#include "foxtailring/decisions/ForwardSession.h"

namespace foxtailring {

/// \brief A request that is answered whole.
///
/// Answers the load of plain services that fail, lose answers and fill up: one that may be repeated
/// goes to another server while its answer can still be in time; one that may not is sent once.
class CallSession : public ForwardSession
{
public:
    using ForwardSession::ForwardSession;

private:
    ForwardAction makeAttempt(std::string_view cause, TimePoint now) override;
    ForwardAction onLost(AttemptResult result, TimePoint now) override;
    ForwardAction onOverdue(TimePoint now) override;
    TimePoint overdueAt() const override;

    bool m_isFinalAttempt = false; ///< the attempt under way is the last one, however long it takes
};

} // namespace foxtailring
