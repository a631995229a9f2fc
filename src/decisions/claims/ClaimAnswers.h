#pragma once

#include "foxtailring/decisions/claims/ClaimAction.h"
#include "foxtailring/decisions/claims/ClaimRecord.h"
#include "PendingClaim.h"

#include <cstdint>
#include <string>

/// \brief Results that ClaimTable returns to the submitters of calls.
namespace foxtailring::claim_answers {

/// \brief The key was used with another request.
AnswerCall conflict();
/// \brief Neither this call nor an earlier one of its key was sent.
AnswerCall notRun(const std::string &message);
/// \brief This call was not sent; the outcome of earlier calls of its key is unknown.
AnswerCall attemptNotRun(const std::string &reason);
/// \brief The call may have run.
AnswerCall unknown(const std::string &message);
/// \brief Result for a stored claim whose outcome is Done or Unknown.
AnswerCall fromRecord(const ClaimRecord &record);
/// \brief Result for a settled claim whose outcome is Done or Unknown.
AnswerCall fromSettled(const PendingClaim &pending);

/// \brief Appends \a call to \a actions, addressed to \a callId.
void answer(std::uint64_t callId, AnswerCall call, ClaimActions &actions);
/// \brief Appends \a call to \a actions once for each call that waits for \a pending.
void answerAll(const PendingClaim &pending, const AnswerCall &call, ClaimActions &actions);

} // namespace foxtailring::claim_answers
