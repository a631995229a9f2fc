#include "ClaimAnswers.h"

#include <utility>

namespace foxtailring::claim_answers {

namespace {

constexpr std::uint32_t statusConflict = 409;
const std::string mayHaveRun = "the call may have run; its outcome is unknown";

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

AnswerCall notRunNow(const std::string &reason)
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

AnswerCall recorded(const ClaimRecord &record)
{
    if (record.outcome != Outcome::Done)
        return unknown(mayHaveRun);
    return {0, Outcome::Done, record.status, record.answer, {}, false};
}

AnswerCall settled(const ClaimEntry &entry)
{
    if (entry.outcome != Outcome::Done)
        return unknown(mayHaveRun);
    return {0, Outcome::Done, entry.status, entry.answer, {}, false};
}

void send(std::uint64_t ticket, AnswerCall call, ClaimActions &actions)
{
    call.ticket = ticket;
    actions.emplace_back(std::move(call));
}

void sendAll(const ClaimEntry &entry, const AnswerCall &call, ClaimActions &actions)
{
    for (const ClaimEntry::Waiter &waiter : entry.waiters)
        send(waiter.ticket, call, actions);
}

} // namespace foxtailring::claim_answers
