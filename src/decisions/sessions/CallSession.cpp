#include "foxtailring/decisions/sessions/CallSession.h"

#include "foxtailring/decisions/admission/RetryBudget.h"
#include "foxtailring/decisions/placement/BackendPlacer.h"
#include "foxtailring/decisions/placement/ExpectedCallTime.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/sessions/SecondAttempts.h"

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
    const bool isFirst = triedIds().empty();
    auto next = place(cause, {}, now);
    if (!next)
        return waitForFallback(conclude(refuseUnplaced(now)), now);
    const double relativeDuration = next->server.pace.relativeDuration;
    m_slowAt = TimePoint::max();
    if (isFirst && context().secondAttempts && route().allowsRetry()) {
        if (const auto limit =
                context().secondAttempts->slowAfter(route().name, relativeDuration, now))
            m_slowAt = now + *limit;
    }
    return send(std::move(*next), now);
}

std::optional<SendAttempt> CallSession::place(std::string_view cause,
                                              std::span<const std::string> exclude, TimePoint now)
{
    std::vector<std::string> excluded = triedIds();
    excluded.insert(excluded.end(), exclude.begin(), exclude.end());
    PlacementRequest placement;
    placement.service = service();
    placement.exclude = excluded;
    auto chosen = choose(placement, &BackendPlacer::chooseForCall, now);
    if (!chosen)
        return std::nullopt;
    SendAttempt next;
    next.server = std::move(*chosen);
    next.cause = cause;
    return next;
}

// An error may have taken no work, and the time of a call that had to wait for a slot is not only
// that of its work. Callers wait in both cases, so the wait counts for what is slow.
void CallSession::recordAnswerTime(const BackendState &server, const BackendAnswer &answer,
                                   Duration time, TimePoint now)
{
    if (!answer.isSuccess() || !answer.isSigned)
        return;
    if (answer.load.waiting.value_or(0) == 0)
        context().servers.pace().recordWork(server.info, route().name, time, now);
    if (context().secondAttempts)
        context().secondAttempts->recordTime(route().name, time, server.pace.relativeDuration, now);
}

// Without the attempts that lost, which took longer than this, slow answers would look rarer than
// they are.
void CallSession::recordCancelled(const BackendState &server, Duration time, TimePoint now)
{
    if (context().secondAttempts)
        context().secondAttempts->recordTime(route().name, time, server.pace.relativeDuration, now);
}

ForwardAction CallSession::onLost(AttemptResult result, TimePoint now)
{
    if (!tryTakeRetry(now))
        return waitForFallback(refuse(502, attemptResultName(result)), now);
    return makeAttempt(attemptResultName(result), now);
}

ForwardAction CallSession::onOverdue(TimePoint now)
{
    if (now >= m_fallbackSilentAt) {
        m_fallbackSilentAt = TimePoint::max();
        suspectFallbackCrash(now);
        return KeepWaiting {};
    }
    return now >= silentAt(sentAt()) ? onSilent(now) : onSlow(now);
}

// The attempt goes on, since the next server may turn the request away, or be slower still.
ForwardAction CallSession::onSilent(TimePoint now)
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
    auto next = place("silent", {}, now);
    if (!next)
        return KeepWaiting {};
    next->keepsLatest = true;
    context().servers.recordAnswer(silentId, true, now);
    return send(std::move(*next), now);
}

// The first complete answer counts, and the other attempt is cancelled.
ForwardAction CallSession::onSlow(TimePoint now)
{
    m_slowAt = TimePoint::max();
    std::string_view denial = denialOfSecondAttempt(now);
    std::optional<SendAttempt> next;
    if (denial.empty()) {
        next = place(SendAttempt::slowCause, busyServers(now), now);
        denial = next ? "" : "noFreeSlot";
    }
    if (!denial.empty()) {
        if (context().onSecondAttemptDenied)
            context().onSecondAttemptDenied(denial);
        return KeepWaiting {};
    }
    context().retryBudget.tryConsume(service(), now);
    context().secondAttempts->recordSent(service(), now);
    m_isFinalAttempt = true;
    m_fallbackSilentAt = silentAt(sentAt());
    next->keepsLatest = true;
    return send(std::move(*next), now);
}

// A second attempt takes a retry only if one is left for an attempt that failed.
std::string_view CallSession::denialOfSecondAttempt(TimePoint now) const
{
    if (!mayUseAnotherServer() || possibleRuns() > 0)
        return "noAttempt";
    if (!quarantinedSuspect(now).empty())
        return "quarantined";
    if (!context().secondAttempts->isAllowed(service(), now))
        return "shareUsedUp";
    return context().retryBudget.hasSpareRetry(service(), now) ? "" : "noRetry";
}

// When all slots are taken, a second attempt would only make others wait.
std::vector<std::string> CallSession::busyServers(TimePoint now) const
{
    const std::vector<BackendState> servers = context().servers.candidates(service(), now);
    const ExpectedCallTime expected(servers, now);
    std::vector<std::string> ids;
    for (const BackendState &one : servers) {
        if (one.health != BackendHealth::Healthy || !expected.hasFreeSlot(one))
            ids.push_back(one.info.id);
    }
    return ids;
}

TimePoint CallSession::silentAt(TimePoint sent) const
{
    return std::min(deadline(), sent + overdueObjectives * route().latencyObjective);
}

TimePoint CallSession::overdueAt() const
{
    const TimePoint currentAt =
        m_overdueSince == sentAt() ? deadline() : std::min(silentAt(sentAt()), m_slowAt);
    return std::min(currentAt, m_fallbackSilentAt);
}

bool CallSession::mayUseAnotherServer() const
{
    return route().allowsRetry() && possibleRuns() + 1 < route().maxAttempts;
}

} // namespace foxtailring
