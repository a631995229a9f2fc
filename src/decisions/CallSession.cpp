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
    PlacementRequest placement;
    placement.service = service();
    placement.exclude = triedIds();
    auto chosen = choose(placement, &BackendPlacer::chooseForCall, now);
    if (!chosen)
        return conclude(refuseUnplaced(now));
    SendAttempt next;
    next.server = std::move(*chosen);
    next.cause = cause;
    return send(std::move(next), now);
}

ForwardAction CallSession::onLost(AttemptResult result, TimePoint now)
{
    if (!tryTakeRetry(now))
        return refuse(502, attemptResultName(result));
    return makeAttempt(attemptResultName(result), now);
}

// The attempt continues unless it can be replaced by one at another server.
ForwardAction CallSession::onOverdue(TimePoint now)
{
    m_isFinalAttempt = true;
    if (!tryTakeRetry(now))
        return KeepWaiting {};
    const std::string silentId = server().info.id;
    ForwardAction next = makeAttempt("silent", now);
    if (!std::holds_alternative<SendAttempt>(next))
        return KeepWaiting {};
    countPossibleRun();
    context().servers.recordAnswer(silentId, true, now);
    return next;
}

TimePoint CallSession::overdueAt() const
{
    const bool isLast =
        m_isFinalAttempt || !route().allowsRetry() || possibleRuns() + 1 >= route().maxAttempts;
    return isLast ? deadline() : sentAt() + overdueObjectives * route().latencyObjective;
}

} // namespace foxtailring
