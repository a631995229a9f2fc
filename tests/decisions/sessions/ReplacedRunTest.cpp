#include "foxtailring/decisions/sessions/StreamSession.h"

#include "ForwardFixture.h"

#include <optional>

using namespace foxtailring;

// A server may be silent, or not list a run, and go on with it all the same.
class ReplacedRunTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(ReplacedRunTest);
    CPPUNIT_TEST(streamGoesOnIfItsReplacementIsRejected);
    CPPUNIT_TEST(streamGoesOnIfItsReplacementIsLost);
    CPPUNIT_TEST(promptGoesOnIfItsReplacementIsRejected);
    CPPUNIT_TEST(streamGoesOnIfAPartIsQuarantinedMeanwhile);
    CPPUNIT_TEST(promptIsKeptIfAPartIsQuarantinedMeanwhile);
    CPPUNIT_TEST(eventOfTheReplacedAttemptEndsTheReplacement);
    CPPUNIT_TEST(repeatedEventOfTheReplacedAttemptProvesNothing);
    CPPUNIT_TEST(eventOfTheReplacementEndsTheReplacedAttempt);
    CPPUNIT_TEST(twoServersWorkOnARunForAShortTimeOnly);
    CPPUNIT_TEST(replacementGoesOnIfTheReplacedAttemptIsLost);
    CPPUNIT_TEST(streamWithoutAnyServerIsAborted);
    CPPUNIT_TEST(runsAreCountedOnce);
    CPPUNIT_TEST(countsAtServersReturnToZero);
    CPPUNIT_TEST(overlapStartsAnewWithEachReplacement);
    CPPUNIT_TEST(silentServerMayWorkForAShortTimeOnly);
    CPPUNIT_TEST(preemptedRunMayGoOnForAShortTimeOnly);
    CPPUNIT_TEST(streamGoesOnIfItsReplacementIsAnsweredOtherwise);
    CPPUNIT_TEST(errorOfTheReplacedAttemptDoesNotEndThePlacement);
    CPPUNIT_TEST(resumedAttemptIsAskedBeforeItIsGivenUp);
    CPPUNIT_TEST(eventBeyondAGapLeavesTheReplacement);
    CPPUNIT_TEST(endWithoutAnEventLeavesTheReplacement);
    CPPUNIT_TEST(moveOnABeliefLeavesTheLastRetry);
    CPPUNIT_TEST(lastRetryIsForProvenLosses);
    CPPUNIT_TEST(lastRetryIsUsedAfterALongSilence);
    CPPUNIT_TEST(unlistedRunLeavesTheLastRetry);
    CPPUNIT_TEST(stuckRunLeavesTheLastRetry);
    CPPUNIT_TEST(streamThatWaitsForARetryComesFirst);
    CPPUNIT_TEST(copyHolderIsAskedBeforeARunIsMoved);
    CPPUNIT_TEST(silentCopyHolderGetsNoRun);
    CPPUNIT_TEST(eventDuringTheProbeOfTheCopyHolderEndsTheMove);
    CPPUNIT_TEST(lateRejectionIsOutlived);
    CPPUNIT_TEST(lateRejectionWithoutARetryIsOutlived);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    // Guards against cutting a stream whose server works, because the next server is full.
    void streamGoesOnIfItsReplacementIsRejected()
    {
        replaceSilentRun(eventCount);
        CPPUNIT_ASSERT(std::holds_alternative<ResumeFallback>(rejectAll()));
        CPPUNIT_ASSERT(m_session->onEvent(eventCount + 1, m_at) == EventVerdict::Next);
        CPPUNIT_ASSERT_EQUAL(0U, m_session->possibleRuns());
    }

    void streamGoesOnIfItsReplacementIsLost()
    {
        replaceSilentRun(eventCount);
        useUpRetries();
        const ForwardAction next = m_session->onAttemptEnded(AttemptResult::Lost, m_at);
        CPPUNIT_ASSERT(std::holds_alternative<ResumeFallback>(next));
        CPPUNIT_ASSERT(m_session->onEvent(eventCount + 1, m_at) == EventVerdict::Next);
    }

    // Guards against refusing a request that its server will answer.
    void promptGoesOnIfItsReplacementIsRejected()
    {
        replaceSilentRun(0);
        CPPUNIT_ASSERT(std::holds_alternative<ResumeFallback>(rejectAll()));
        CPPUNIT_ASSERT(m_session->onEvent(1, m_at) == EventVerdict::Next);
    }

    // Guards against cutting a stream because its prompt is suspected of a crash of other servers,
    // and against keeping it at a silent server for that (inc8).
    void streamGoesOnIfAPartIsQuarantinedMeanwhile()
    {
        m_capabilities.canCopyContinuously = false;
        m_request.sharedPromptParts = {"p1"};
        const ForwardAction placing = findReplacement(2);
        quarantinePart("p1");
        CPPUNIT_ASSERT(sent(placed(placing)).keepsLatest);
        CPPUNIT_ASSERT(m_session->onFallbackEvent(3, m_at));
        CPPUNIT_ASSERT(m_session->onEvent(3, m_at) == EventVerdict::Next);
    }

    // Guards against a second server that gets a part which may have crashed the first one.
    void promptIsKeptIfAPartIsQuarantinedMeanwhile()
    {
        m_capabilities.canCopyContinuously = false;
        m_request.sharedPromptParts = {"p1"};
        const ForwardAction placing = findReplacement(0);
        quarantinePart("p1");
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(placed(placing)));
        CPPUNIT_ASSERT(m_session->onEvent(1, m_at) == EventVerdict::Next);
    }

    // Guards against waiting for a second prompt although the first server has gone on.
    void eventOfTheReplacedAttemptEndsTheReplacement()
    {
        replaceSilentRun(eventCount);
        CPPUNIT_ASSERT(m_session->onFallbackEvent(eventCount + 1, m_at));
        CPPUNIT_ASSERT(!m_session->hasFallback());
        CPPUNIT_ASSERT(m_session->onEvent(eventCount + 1, m_at) == EventVerdict::Next);
        CPPUNIT_ASSERT_EQUAL(1U, servers.server(m_firstId, m_at)->inFlight);
        CPPUNIT_ASSERT_EQUAL(0U, servers.server(m_secondId, m_at)->inFlight);
    }

    void repeatedEventOfTheReplacedAttemptProvesNothing()
    {
        replaceSilentRun(eventCount);
        CPPUNIT_ASSERT(!m_session->onFallbackEvent(eventCount, m_at));
        CPPUNIT_ASSERT(m_session->hasFallback());
    }

    // Guards against two servers that work on one run.
    void eventOfTheReplacementEndsTheReplacedAttempt()
    {
        replaceSilentRun(eventCount);
        CPPUNIT_ASSERT(m_session->hasFallback());
        CPPUNIT_ASSERT(m_session->onEvent(eventCount + 1, m_at) == EventVerdict::Next);
        CPPUNIT_ASSERT(!m_session->hasFallback());
    }

    // The connection is dead, but its server goes on with the run.
    void twoServersWorkOnARunForAShortTimeOnly()
    {
        start(eventCount);
        const TimePoint sentAt = m_at;
        CPPUNIT_ASSERT(sent(loseEvents()).keepsLatest);
        ForwardAction action = KeepWaiting {};
        while (m_session->hasFallback() && std::holds_alternative<KeepWaiting>(action)) {
            m_at = m_session->nextCheck();
            action = m_session->check(m_at);
        }
        CPPUNIT_ASSERT(!m_session->hasFallback());
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(action));
        CPPUNIT_ASSERT(m_at <= sentAt + Ms(300) + maxDetectionTime);
    }

    void replacementGoesOnIfTheReplacedAttemptIsLost()
    {
        replaceSilentRun(eventCount);
        const ForwardAction action = m_session->onFallbackEnded(AttemptResult::Lost, m_at);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(action));
        CPPUNIT_ASSERT(m_session->onEvent(eventCount + 1, m_at) == EventVerdict::Next);
    }

    // Guards against a caller that waits for its deadline although nothing works on its request.
    void streamWithoutAnyServerIsAborted()
    {
        m_route.timeout = Ms(20000);
        m_request.callerTimeout = Ms(20000);
        replaceSilentRun(eventCount);
        const TimePoint lastEventAt = now + Ms(1000) + eventCount * Ms(30);
        m_session->onFallbackEnded(AttemptResult::Lost, m_at);
        useUpRetries();
        ForwardAction action = m_session->onAttemptEnded(AttemptResult::Lost, m_at);
        CPPUNIT_ASSERT(isDelayed(action));
        while (!std::holds_alternative<AbortAnswer>(action) && m_at < now + Ms(19000)) {
            m_at = m_session->nextCheck();
            action = m_session->check(m_at);
        }
        CPPUNIT_ASSERT(std::holds_alternative<AbortAnswer>(action));
        CPPUNIT_ASSERT(m_at == lastEventAt + 8 * m_route.maxEventGap);
    }

    // Guards against more servers for a request than its route allows.
    void runsAreCountedOnce()
    {
        replaceSilentRun(eventCount);
        CPPUNIT_ASSERT_EQUAL(1U, m_session->possibleRuns());
        m_session->onFallbackEvent(eventCount + 1, m_at);
        CPPUNIT_ASSERT_EQUAL(1U, m_session->possibleRuns());
    }

    void countsAtServersReturnToZero()
    {
        replaceSilentRun(eventCount);
        rejectAll();
        m_session->onEvent(eventCount + 1, m_at);
        m_session->onFinished(m_at);
        m_session.reset();
        for (const std::string &id : servers.candidateIds("engine", m_at))
            CPPUNIT_ASSERT_EQUAL(0U, servers.server(id, m_at)->inFlight);
    }

    // Guards against ending a working run as soon as its third server is asked: a server that
    // rejected the run has not worked on it.
    void overlapStartsAnewWithEachReplacement()
    {
        start(eventCount);
        CPPUNIT_ASSERT(sent(loseEvents()).keepsLatest);
        m_at += Ms(200);
        const ForwardAction placing = m_session->onAttemptEnded(AttemptResult::NotRun, m_at);
        m_at += Ms(60);
        sent(placed(placing));
        m_session->check(m_at);
        CPPUNIT_ASSERT(m_session->hasFallback());
        CPPUNIT_ASSERT(std::holds_alternative<ResumeFallback>(rejectAll()));
    }

    // Guards against two servers that work on one run for seconds: a silent server may work.
    void silentServerMayWorkForAShortTimeOnly()
    {
        for (const std::int64_t events : {std::int64_t(0), eventCount}) {
            replaceSilentRun(events);
            checkUntil(m_at + Ms(200));
            CPPUNIT_ASSERT(m_session->hasFallback());
            checkUntil(m_at + Ms(300));
            CPPUNIT_ASSERT(!m_session->hasFallback());
        }
    }

    // Guards against two servers that work on one run for seconds: an engine goes on with a
    // preempted run as soon as it has memory again (review/7).
    void preemptedRunMayGoOnForAShortTimeOnly()
    {
        for (const std::uint32_t waiting : {1U, 0U}) {
            start(longRunEvents);
            m_at = m_session->nextCheck();
            CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(m_session->check(m_at)));
            ServerProbeResult preempted {m_firstId, {}, false, 0};
            preempted.listsRuns = true;
            preempted.load.waiting = waiting;
            CPPUNIT_ASSERT(
                sent(placed(m_session->onProbed(std::vector {preempted}, m_at))).keepsLatest);
            const TimePoint sentAt = m_at;
            checkUntil(sentAt + Ms(200));
            CPPUNIT_ASSERT(m_session->hasFallback());
            checkUntil(sentAt + Ms(300));
            CPPUNIT_ASSERT(!m_session->hasFallback());
            CPPUNIT_ASSERT_EQUAL(0U, servers.server(m_firstId, m_at)->inFlight);
            CPPUNIT_ASSERT(m_session->onEvent(longRunEvents + 1, m_at) == EventVerdict::Next);
        }
    }

    // Guards against cutting a stream whose server works, because the next server answers the
    // request with an error of the caller.
    void streamGoesOnIfItsReplacementIsAnsweredOtherwise()
    {
        for (const int status : {200, 404}) {
            replaceSilentRun(eventCount);
            const ForwardAction action = m_session->onAnswer(answer(status), m_at);
            CPPUNIT_ASSERT(std::holds_alternative<ResumeFallback>(action));
            CPPUNIT_ASSERT(m_session->onEvent(eventCount + 1, m_at) == EventVerdict::Next);
        }
    }

    // Guards against an error that a caller sees although the next server is being chosen.
    void errorOfTheReplacedAttemptDoesNotEndThePlacement()
    {
        for (const int status : {500, 503}) {
            replaceSilentRun(0);
            const ForwardAction placing = m_session->onAttemptEnded(AttemptResult::NotRun, m_at);
            CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(placing));
            const ForwardAction action = m_session->onFallbackAnswer(answer(status), m_at);
            CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(action));
            sent(placed(placing));
        }
    }

    // Guards against ending an attempt whose server was not asked while it was the fallback.
    void resumedAttemptIsAskedBeforeItIsGivenUp()
    {
        m_route.timeout = Ms(20000);
        m_request.callerTimeout = Ms(20000);
        replaceSilentRun(eventCount);
        m_at += Ms(6000);
        useUpRetries();
        CPPUNIT_ASSERT(std::holds_alternative<ResumeFallback>(
            m_session->onAttemptEnded(AttemptResult::Lost, m_at)));
        m_at = m_session->nextCheck();
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(m_session->check(m_at)));
    }

    // Guards against ending a working replacement for a stream that cannot be passed on.
    void eventBeyondAGapLeavesTheReplacement()
    {
        replaceSilentRun(eventCount);
        CPPUNIT_ASSERT(!m_session->onFallbackEvent(eventCount + 2, m_at));
        CPPUNIT_ASSERT_EQUAL(1U, servers.server(m_secondId, m_at)->inFlight);
    }

    void endWithoutAnEventLeavesTheReplacement()
    {
        replaceSilentRun(0);
        m_session->onFallbackFinished(m_at);
        CPPUNIT_ASSERT(m_session->hasFallback());
        CPPUNIT_ASSERT_EQUAL(1U, servers.server(m_secondId, m_at)->inFlight);
    }

    // Guards against cutting a stream that its server would have gone on with, because its move
    // took the retry that the next step needs.
    void moveOnABeliefLeavesTheLastRetry()
    {
        for (const std::int64_t events : {std::int64_t(0), eventCount}) {
            start(events);
            leaveRetries(1);
            CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(placed(findSilence())));
            CPPUNIT_ASSERT(retryBudget.hasRetry("engine", m_at));
            CPPUNIT_ASSERT_EQUAL(std::string("engine"), denied.back());
            CPPUNIT_ASSERT(m_session->onEvent(events + 1, m_at) == EventVerdict::Next);
            now += Ms(11'000);
            m_request.arrivedAt = now;
            start(events);
            leaveRetries(2);
            sent(placed(findSilence()));
            now += Ms(11'000);
            m_request.arrivedAt = now;
        }
    }

    void lastRetryIsForProvenLosses()
    {
        start(eventCount);
        leaveRetries(1);
        sent(placed(m_session->onAttemptEnded(AttemptResult::Lost, m_at)));
        CPPUNIT_ASSERT(!retryBudget.hasRetry("engine", m_at));
    }

    // Guards against cutting the streams of a server without power in a process with few retries:
    // nothing but silence shows its failure.
    void lastRetryIsUsedAfterALongSilence()
    {
        start(eventCount);
        const TimePoint last = m_at;
        leaveRetries(1);
        ForwardAction action = placed(findSilence());
        while (std::holds_alternative<KeepWaiting>(action) && m_at < last + Ms(3000))
            action = placed(findSilence());
        CPPUNIT_ASSERT(sent(action).keepsLatest);
        CPPUNIT_ASSERT(m_at > last + Ms(1300) && m_at < last + Ms(2000));
    }

    void unlistedRunLeavesTheLastRetry()
    {
        start(longRunEvents);
        leaveRetries(1);
        m_at = m_session->nextCheck();
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(m_session->check(m_at)));
        ServerProbeResult preempted {m_firstId, {}, false, 0};
        preempted.listsRuns = true;
        preempted.load.waiting = 1;
        const ForwardAction action = m_session->onProbed(std::vector {preempted}, m_at);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(placed(action)));
        CPPUNIT_ASSERT(retryBudget.hasRetry("engine", m_at));
    }

    void stuckRunLeavesTheLastRetry()
    {
        start(eventCount);
        leaveRetries(1);
        ForwardAction action = KeepWaiting {};
        const TimePoint stuckAt = m_at + 3 * m_route.maxEventGap;
        while (m_at < stuckAt) {
            m_at = m_session->nextCheck();
            action = m_session->check(m_at);
            if (std::holds_alternative<ProbeServers>(action) && m_at < stuckAt)
                m_session->onProbed(
                    std::vector {ServerProbeResult {m_firstId, {}, true, eventCount}}, m_at);
        }
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(placed(action)));
        CPPUNIT_ASSERT(retryBudget.hasRetry("engine", m_at));
    }

    // Guards against a lost stream that is cut while others move away from servers that go on.
    void streamThatWaitsForARetryComesFirst()
    {
        start(eventCount);
        leaveRetries(0);
        StreamSession lost(m_route, m_request, context(), m_capabilities);
        placed(lost, lost.start(now));
        lost.onEvent(1, m_at);
        leaveRetries(0);
        CPPUNIT_ASSERT(isDelayed(lost.onAttemptEnded(AttemptResult::Lost, m_at)));
        for (int i = 0; i < 4; ++i)
            retryBudget.deposit("engine", m_at);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(placed(findSilence())));
        sent(placed(lost, lost.check(std::max(m_at, lost.nextCheck()))));
    }

    // Guards against moving a run from a silent server to another silent one.
    void copyHolderIsAskedBeforeARunIsMoved()
    {
        const ForwardAction asking = findReplacement(eventCount);
        CPPUNIT_ASSERT_EQUAL(m_copyId, std::get<ProbeServers>(asking).servers.front().info.id);
        const ForwardAction next = placed(asking);
        CPPUNIT_ASSERT_EQUAL(m_copyId, sent(next).server.info.id);
        CPPUNIT_ASSERT(sent(next).fromCopy && sent(next).keepsLatest);
    }

    void silentCopyHolderGetsNoRun()
    {
        findReplacement(eventCount);
        m_at += Ms(60);
        const ForwardAction next = placed(m_session->onProbed({}, m_at));
        CPPUNIT_ASSERT(!sent(next).fromCopy);
    }

    void eventDuringTheProbeOfTheCopyHolderEndsTheMove()
    {
        const ForwardAction asking = findReplacement(eventCount);
        m_session->onEvent(eventCount + 1, m_at);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(placed(asking)));
        CPPUNIT_ASSERT_EQUAL(1U, servers.server(m_firstId, m_at)->inFlight);
    }

    // Guards against cutting a stream whose next server rejects it after the overlap of the two.
    void lateRejectionIsOutlived()
    {
        replaceSilentRun(eventCount);
        checkUntil(m_at + Ms(300));
        CPPUNIT_ASSERT(!m_session->hasFallback());
        CPPUNIT_ASSERT(isDelayed(rejectAll()));
        m_at = m_session->nextCheck();
        const ForwardAction next = placed(m_session->check(m_at));
        CPPUNIT_ASSERT_EQUAL(eventCount, sent(next).lastEventId.value());
        CPPUNIT_ASSERT(m_session->onEvent(eventCount + 1, m_at) == EventVerdict::Next);
    }

    void lateRejectionWithoutARetryIsOutlived()
    {
        replaceSilentRun(eventCount);
        checkUntil(m_at + Ms(300));
        leaveRetries(0);
        CPPUNIT_ASSERT(isDelayed(m_session->onAttemptEnded(AttemptResult::NotRun, m_at)));
        for (int i = 0; i < 4; ++i)
            retryBudget.deposit("engine", m_at);
        m_at = m_session->nextCheck();
        sent(placed(m_session->check(m_at)));
    }

private:
    static constexpr std::int64_t eventCount = 10;
    static constexpr std::int64_t longRunEvents = 40; ///< for longer than reports lag
    static constexpr Ms maxDetectionTime {350};

    void start(std::int64_t events)
    {
        m_session.emplace(m_route, m_request, context(), m_capabilities);
        m_at = now;
        const ForwardAction first = placed(m_session->start(now));
        m_firstId = sent(first).server.info.id;
        m_copyId = sent(first).copyTo ? sent(first).copyTo->info.id : "";
        if (events > 0)
            m_at = now + Ms(1000);
        for (std::int64_t id = 1; id <= events; ++id)
            m_session->onEvent(id, m_at += Ms(30));
    }

    /// If \a action is a probe, answers that all servers are idle; returns the next action.
    ForwardAction placed(const ForwardAction &action) { return placed(*m_session, action); }

    ForwardAction placed(StreamSession &session, const ForwardAction &action)
    {
        const auto *probe = std::get_if<ProbeServers>(&action);
        if (!probe)
            return action;
        std::vector<ServerProbeResult> reports;
        for (const BackendState &server : probe->servers)
            reports.push_back({server.info.id, {}, false, 0});
        return session.onProbed(reports, m_at);
    }

    /// Starts a run that is silent after \a events events; returns what is done about it.
    ForwardAction findReplacement(std::int64_t events)
    {
        start(events);
        return findSilence();
    }

    /// The run's server does not answer the next probe.
    ForwardAction findSilence()
    {
        m_at = m_session->nextCheck();
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(m_session->check(m_at)));
        m_at += Ms(120);
        return m_session->onProbed({}, m_at);
    }

    /// Probes are answered that the run of the latest attempt may wait.
    void checkUntil(TimePoint end)
    {
        while (m_session->nextCheck() < end) {
            m_at = m_session->nextCheck();
            const ForwardAction action = m_session->check(m_at);
            if (const auto *probe = std::get_if<ProbeServers>(&action)) {
                ServerProbeResult report {probe->servers.front().info.id, {}, false, 0};
                report.load.waiting = 1;
                m_session->onProbed(std::vector {report}, m_at);
            }
        }
    }

    void replaceSilentRun(std::int64_t events)
    {
        const ForwardAction next = placed(findReplacement(events));
        CPPUNIT_ASSERT(sent(next).keepsLatest);
        m_secondId = sent(next).server.info.id;
    }

    void leaveRetries(std::size_t count)
    {
        const auto left = static_cast<std::size_t>(retryBudget.remaining("engine", m_at));
        for (std::size_t used = count; used < left; ++used)
            retryBudget.tryConsume("engine", m_at);
    }

    /// The server of the run reports events that did not arrive.
    ForwardAction loseEvents()
    {
        m_at = m_session->nextCheck();
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(m_session->check(m_at)));
        ServerProbeResult ahead {m_firstId, {}, true, eventCount + 4};
        return placed(m_session->onProbed(std::vector {ahead}, m_at));
    }

    /// Servers reject the request until no other one is tried.
    ForwardAction rejectAll()
    {
        ForwardAction action = m_session->onAttemptEnded(AttemptResult::NotRun, m_at);
        for (int round = 0; round < 8; ++round) {
            action = placed(action);
            if (!std::holds_alternative<SendAttempt>(action))
                break;
            action = m_session->onAttemptEnded(AttemptResult::NotRun, m_at);
        }
        return action;
    }

    void quarantinePart(const std::string &part)
    {
        quarantine.recordCrash("e1", std::vector {part}, m_at - Ms(3000));
        quarantine.recordCrash("e2", std::vector {part}, m_at - Ms(2000));
        CPPUNIT_ASSERT(!quarantine.quarantinedSuspect(std::vector {part}, m_at).empty());
    }

    HttpRoute m_route = route(CallKind::Stream);
    ForwardRequest m_request = request();
    StreamSession::EngineCapabilities m_capabilities {true, true, true};
    std::optional<StreamSession> m_session;
    std::string m_firstId;
    std::string m_copyId;
    std::string m_secondId;
    TimePoint m_at;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplacedRunTest);
