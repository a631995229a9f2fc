#include "foxtailring/decisions/sessions/ForwardSession.h"

#include "foxtailring/decisions/quarantine/SuspectedCrashes.h"
#include "foxtailring/decisions/servers/BackendTable.h"

#include <utility>

// The part of the session that keeps an earlier attempt as the fallback of the current one.

namespace foxtailring {

ForwardAction ForwardSession::onFallbackAnswer(const BackendAnswer &answer, TimePoint now)
{
    if (!m_fallback)
        return KeepWaiting {};
    if (answer.isOtherServer && answer.isNotRun)
        return onFallbackEnded(AttemptResult::OtherServer, now);
    if (answer.isNotRun)
        return onFallbackEnded(AttemptResult::NotRun, now);
    if ((answer.isSuccess() && !answer.isSigned) || hasPassedEvents())
        return onFallbackEnded(AttemptResult::Invalid, now);
    const bool isFailure = answer.status >= 500 || answer.isOtherServer;
    const bool isFinal = answer.status < 500 && mayPass(answer.status);
    m_suspicion.recordWholeAnswer(answer, now);
    m_context.servers.recordAnswer(m_fallback->server.info.id, isFailure && !answer.pause, now);
    m_fallback->observation.recordAnswer(answer, now);
    releaseFallback();
    if (isFinal) {
        cancelAttempts(now);
        return PassAnswer {true};
    }
    if (m_server || isChoosingServer())
        return KeepWaiting {};
    if (m_heldStatus)
        return passHeldAnswer();
    return mayPass(answer.status) ? PassAnswer {true} : refuse(502, "serverUnavailable");
}

ForwardAction ForwardSession::onFallbackEnded(AttemptResult result, TimePoint now)
{
    if (!m_fallback)
        return KeepWaiting {};
    m_evidence.recordEnd(m_fallback->server.info.id, result, now);
    m_work.recordFailure(m_fallback->server.info.id, result, now);
    m_fallback->observation.recordLoss(mayHaveRun(result), now);
    if (result == AttemptResult::Lost && mayCrashServers())
        m_suspicion.recordReset(m_fallback->server.info, m_fallback->isFailureRecorded, now);
    releaseFallback();
    // It was counted when it became the fallback.
    if (!mayHaveRun(result))
        --m_possibleRuns;
    if (m_server || isChoosingServer())
        return KeepWaiting {};
    const int status = mayHaveRun(result) ? 502 : 503;
    return conclude(refuse(status, attemptResultName(result), m_admittedPlacer.waitForServer(now)));
}

ForwardAction ForwardSession::waitForFallback(ForwardAction action, TimePoint)
{
    if (m_fallback)
        return KeepWaiting {};
    return action;
}

// It was counted as a possible run when it became the fallback; now the attempt in progress is.
void ForwardSession::resumeFallback()
{
    if (m_server) {
        releaseServer();
        countPossibleRun();
    }
    m_server = std::move(m_fallback->server);
    m_observation = std::move(m_fallback->observation);
    m_sentAt = m_fallback->sentAt;
    m_fallback.reset();
    --m_possibleRuns;
    m_heldStatus.reset();
    // It was replaced because its server looked as if it had failed.
    m_isFailureRecorded = true;
    m_isCrashSuspected = false;
}

void ForwardSession::cancelAttempts(TimePoint now)
{
    if (m_server)
        recordCancelled(*m_server, now - m_sentAt, now);
    if (m_fallback)
        recordCancelled(m_fallback->server, now - m_fallback->sentAt, now);
    releaseServer();
    releaseFallback();
}

void ForwardSession::suspectFallbackCrash(TimePoint now)
{
    if (!m_fallback || !mayCrashServers())
        return;
    const BackendInfo &info = m_fallback->server.info;
    m_suspicion.addUncertainServer(info);
    m_suspicion.recordSilence(info, m_fallback->sentAt, now, m_fallback->sentAt);
}

void ForwardSession::releaseFallback()
{
    if (m_fallback)
        m_work.end(m_fallback->server.info.id);
    m_fallback.reset();
}

} // namespace foxtailring
