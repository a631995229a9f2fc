#include "foxtailring/decisions/admission/RetryBudget.h"
#include "foxtailring/decisions/sessions/StreamSession.h"

#include <algorithm>
#include <utility>

// Part of StreamSession that waits: for room at an engine, for a retry, or for a server.

namespace foxtailring {

namespace {

// After a round of rejections, the next server is asked this much later.
constexpr std::chrono::milliseconds rejectedRetryInterval {200};

} // namespace

ForwardAction StreamSession::waitForRoom(TimePoint now)
{
    if (std::exchange(m_isReplacing, false))
        return keepSilentAttempt(now);
    if (!m_entry.wait(now))
        return refuseOrAbort(refuse(503, "noRoom", m_entry.refuse(now)), now);
    m_search.setRounds(1);
    if (!m_entry.isWaitNew())
        return KeepWaiting {};
    return DelayAttempt {"noRoom"};
}

// Only a run that has not begun and is the only attempt may wait in vain: an attempt that is about
// to end shows nothing about the prompt.
bool StreamSession::startsMove(std::span<const ServerProbeResult> reports, TimePoint now)
{
    const bool mayMove = !hasFallback() && m_watch.progress().isPrefilling() && !m_hasStarted;
    return mayMove && reports.size() == 1 && m_move.startSearch(reports.front(), now);
}

bool StreamSession::hasRoom(const ServerProbeResult &report, TimePoint now)
{
    if (m_move.isSearching() && !m_move.accepts(report, now))
        return false;
    return !needsRoom() || m_entry.hasRoom(report, now);
}

// The caller of a stream that has begun cannot be told to return, but waits for the next event for
// seconds. The budget fills and servers become free sooner.
ForwardAction StreamSession::waitForNextAttempt(Missing missing, ForwardAction ending,
                                                TimePoint now)
{
    if (m_isReplacing || hasFallback() || !mayWaitForAttempt(now))
        return refuseOrAbort(std::move(ending), now);
    m_waitCause = std::get<AbortAnswer>(conclude(std::move(ending))).cause;
    if (missing == Missing::Retry)
        return delayAttempt("noRetry", Duration {0}, now);
    forgetRejections(now);
    return delayAttempt("noServer", std::max<Duration>(waitForServer(now), rejectedRetryInterval),
                        now);
}

bool StreamSession::mayWaitForAttempt(TimePoint now) const
{
    return m_hasStarted && route().allowsRetry() && usedAttempts(now) < route().maxAttempts
        && m_wait.isOfUse(now)
        && canFinishInTime(m_copier.hasUsableCopy(now) ? 0 : request().promptTokens, now);
}

ForwardAction StreamSession::delayAttempt(std::string_view reason, Duration needed, TimePoint now)
{
    if (!m_wait.start(reason, needed, now))
        return KeepWaiting {};
    return DelayAttempt {reason};
}

ForwardAction StreamSession::lookForAttempt(TimePoint now)
{
    if (m_entry.isWaiting())
        return makeAttempt(m_cause, now);
    if (!mayWaitForAttempt(now))
        return AbortAnswer {m_waitCause};
    if (!m_hasRetry && !context().retryBudget.hasRetry(service(), now))
        return delayAttempt("noRetry", Duration {0}, now);
    const Duration needed = waitForServer(now);
    if (needed > Duration {0})
        return delayAttempt("noServer", needed, now);
    m_hasRetry = m_hasRetry || tryTakeRetry(now);
    if (!m_hasRetry)
        return delayAttempt("noRetry", Duration {0}, now);
    return makeAttempt("delayed", now);
}

} // namespace foxtailring
