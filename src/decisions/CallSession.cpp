#include "foxtailring/decisions/CallSession.h"

#include "foxtailring/decisions/BackendPlacer.h"
#include "foxtailring/decisions/BackendTable.h"

namespace foxtailring {

namespace {

// An answer that takes longer than this multiple of the latency objective is considered lost if the
// call may be retried, since the server answers other calls sooner.
constexpr int overdueObjectives = 2;

} // namespace

ForwardAction CallSession::makeAttempt(std::string_view cause, TimePoint now)
{
    auto next = place(cause, now);
    if (!next)
        return waitForFallback(conclude(refuseUnplaced(now)), now);
    return send(std::move(*next), now);
}

std::optional<SendAttempt> CallSession::place(std::string_view cause, TimePoint now)
{
    PlacementRequest placement;
    placement.service = service();
    placement.exclude = triedIds();
    auto chosen = choose(placement, &BackendPlacer::chooseForCall, now);
    if (!chosen)
        return std::nullopt;
    SendAttempt next;
    next.server = std::move(*chosen);
    next.cause = cause;
    return next;
}

ForwardAction CallSession::onLost(AttemptResult result, TimePoint now)
{
    if (!tryTakeRetry(now))
        return waitForFallback(refuse(502, attemptResultName(result)), now);
    return makeAttempt(attemptResultName(result), now);
}

// The attempt goes on, since the next server may turn the request away, or be slower still.
ForwardAction CallSession::onOverdue(TimePoint now)
{
    m_isFinalAttempt = true;
    // The server that has the call may be sound, so the call goes on, but no other one gets the
    // part.
    if (!quarantinedSuspect(now).empty() || !tryTakeRetry(now))
        return KeepWaiting {};
    const std::string silentId = server().info.id;
    auto next = place("silent", now);
    if (!next)
        return KeepWaiting {};
    next->keepsLatest = true;
    context().servers.recordAnswer(silentId, true, now);
    return send(std::move(*next), now);
}

TimePoint CallSession::overdueAt() const
{
    const bool isLast =
        m_isFinalAttempt || !route().allowsRetry() || possibleRuns() + 1 >= route().maxAttempts;
    return isLast ? deadline() : sentAt() + overdueObjectives * route().latencyObjective;
}

} // namespace foxtailring
