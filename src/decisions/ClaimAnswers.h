#pragma once

#include "foxtailring/decisions/ClaimAction.h"
#include "foxtailring/decisions/ClaimRecord.h"
#include "PendingClaim.h"

#include <cstdint>
#include <string>

/// \brief What the submitters of keyed calls are told.
namespace foxtailring::claim_answers {

/// \brief The key was used with another body.
AnswerCall conflict();
/// \brief Neither this call nor an earlier one of its key was sent.
AnswerCall notRun(const std::string &message);
/// \brief This call was not sent; nothing is known of earlier ones of its key.
AnswerCall attemptNotRun(const std::string &reason);
/// \brief The call may have run.
AnswerCall unknown(const std::string &message);
/// \brief From a record whose outcome is done or unknown.
AnswerCall fromRecord(const ClaimRecord &record);
/// \brief From a settled entry whose outcome is done or unknown.
AnswerCall fromSettled(const PendingClaim &pending);

void answer(std::uint64_t callId, AnswerCall call, ClaimActions &actions);
/// \brief Answers everyone who waits for \a entry.
void answerAll(const PendingClaim &pending, const AnswerCall &call, ClaimActions &actions);

} // namespace foxtailring::claim_answers
