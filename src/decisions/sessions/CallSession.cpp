#include "foxtailring/decisions/sessions/CallSession.h"

#include "foxtailring/decisions/placement/BackendPlacer.h"
#include "foxtailring/decisions/servers/BackendTable.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

// An answer that takes longer than this multiple of the latency objective is considered lost, since
// the server answers other calls sooner.
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

// An error may have taken no work, and the time of a call that had to wait for a slot is not only
// that of its work.
void CallSession::recordAnswerTime(const BackendInfo &server, const BackendAnswer &answer,
                                   Duration time, TimePoint now)
{
    const bool hasQueue = answer.load.waiting.value_or(0) > 0;
    if (answer.isSuccess() && answer.isSigned && !hasQueue)
        context().servers.pace().recordWork(server, route().name, time, now);
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
    const bool isLast = std::exchange(m_isFinalAttempt, true) || !mayUseAnotherServer();
    m_overdueSince = sentAt();
    // A server may have crashed without an end of the connection.
    suspectCrash(now);
    // The server that has the call may be sound, so the call goes on, but no other one gets what is
    // quarantined.
    if (isLast || !quarantinedSuspect(now).empty() || !tryTakeRetry(now))
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
    return m_overdueSince == sentAt()
        ? deadline()
        : std::min(deadline(), sentAt() + overdueObjectives * route().latencyObjective);
}

bool CallSession::mayUseAnotherServer() const
{
    return route().allowsRetry() && possibleRuns() + 1 < route().maxAttempts;
}

} // namespace foxtailring
