#include "ClaimAnswers.h"

#include <utility>

namespace foxtailring::claim_answers {

namespace {

constexpr std::uint32_t statusConflict = 409;
const std::string mayHaveRunMessage = "the call may have run; its outcome is unknown";

} // namespace

AnswerCall conflict()
{
    return {0,
            Outcome::Unknown,
            statusConflict,
            {},
            "the idempotency key was used with another request; this attempt was not run",
            false};
}

AnswerCall notRun(const std::string &message)
{
    return {0, Outcome::NotRun, 0, {}, message, true};
}

AnswerCall attemptNotRun(const std::string &reason)
{
    return {0,
            Outcome::Unknown,
            0,
            {},
            "this attempt was not run; earlier attempts are unknown: " + reason,
            true};
}

AnswerCall unknown(const std::string &message)
{
    return {0, Outcome::Unknown, 0, {}, message, false};
}

AnswerCall fromRecord(const ClaimRecord &record)
{
    if (record.outcome != Outcome::Done)
        return unknown(mayHaveRunMessage);
    return {0, Outcome::Done, record.status, record.answer, {}, false};
}

AnswerCall fromSettled(const PendingClaim &pending)
{
    if (pending.outcome != Outcome::Done)
        return unknown(mayHaveRunMessage);
    return {0, Outcome::Done, pending.status, pending.answer, {}, false};
}

void answer(std::uint64_t callId, AnswerCall call, ClaimActions &actions)
{
    call.callId = callId;
    actions.emplace_back(std::move(call));
}

void answerAll(const PendingClaim &pending, const AnswerCall &call, ClaimActions &actions)
{
    for (const PendingClaim::Waiter &waiter : pending.waiters)
        answer(waiter.callId, call, actions);
}

} // namespace foxtailring::claim_answers
