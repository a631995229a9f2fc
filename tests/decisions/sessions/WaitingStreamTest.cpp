#include "foxtailring/decisions/sessions/StreamSession.h"

#include "ForwardFixture.h"

#include <optional>
#include <set>

using namespace foxtailring;

// A stream that has begun gets no retry or no server now, but its caller waits for seconds.
class WaitingStreamTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(WaitingStreamTest);
    CPPUNIT_TEST(lostStreamWaitsForARetry);
    CPPUNIT_TEST(rejectedStreamWaitsForARetry);
    CPPUNIT_TEST(failedStreamWaitsForARetry);
    CPPUNIT_TEST(streamWaitsForAServerInAPause);
    CPPUNIT_TEST(streamWaitsForARateLimit);
    CPPUNIT_TEST(streamWaitsForAServerToBeListed);
    CPPUNIT_TEST(streamRejectedByAllAsksThemAgain);
    CPPUNIT_TEST(retryIsTakenOnceForAStreamThatWaitsForAServer);
    CPPUNIT_TEST(streamIsCutWhenItsCallerHasGivenUp);
    CPPUNIT_TEST(streamThatCannotFinishInTimeIsCutAtOnce);
    CPPUNIT_TEST(streamWaitsNoLongerThanItCanFinish);
    CPPUNIT_TEST(copyIsKeptDuringTheWait);
    CPPUNIT_TEST(copyAtAPausedServerIsKeptDuringTheWait);
    CPPUNIT_TEST(snapshotIsReleasedAfterAWaitInVain);
    CPPUNIT_TEST(streamWithoutAnEventIsRefusedAtOnce);
    CPPUNIT_TEST(streamThatIsNotResumableIsCutAtOnce);
    CPPUNIT_TEST(streamWithoutAttemptsLeftIsCutAtOnce);
    CPPUNIT_TEST(attemptsThatEndedWithTheirServersAreNotCounted);
    CPPUNIT_TEST(promptPaysForEachAttempt);
    CPPUNIT_TEST(streamsThatWaitDoNotLookTogether);
    CPPUNIT_TEST(delayIsReportedOnceForEachReason);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        listServers();
        m_route.timeout = Ms(30'000);
        m_request.callerTimeout = Ms(30'000);
    }

    // Guards against cutting a stream although the budget fills again before its caller gives up.
    void lostStreamWaitsForARetry()
    {
        start();
        useUpRetries();
        CPPUNIT_ASSERT(isDelayed(m_session->onAttemptEnded(AttemptResult::Lost, m_at)));
        const TimePoint lostAt = m_at;
        expectWaiting(lostAt + Ms(800));
        addRetries(2);
        const ForwardAction next = nextAction();
        CPPUNIT_ASSERT_EQUAL(eventCount, sent(next).lastEventId.value());
        CPPUNIT_ASSERT(m_at <= lostAt + Ms(1100));
        CPPUNIT_ASSERT(m_session->onEvent(eventCount + 1, m_at) == EventVerdict::Next);
    }

    void rejectedStreamWaitsForARetry()
    {
        start();
        sent(placed(m_session->onAttemptEnded(AttemptResult::Lost, m_at)));
        useUpRetries();
        CPPUNIT_ASSERT(isDelayed(m_session->onAttemptEnded(AttemptResult::NotRun, m_at)));
        addRetries(2);
        sent(nextAction());
    }

    void failedStreamWaitsForARetry()
    {
        start();
        sent(placed(m_session->onAttemptEnded(AttemptResult::Lost, m_at)));
        useUpRetries();
        CPPUNIT_ASSERT(isDelayed(m_session->onAnswer(answer(500), m_at)));
        addRetries(2);
        sent(nextAction());
    }

    void streamWaitsForAServerInAPause()
    {
        start();
        pause(Ms(1500));
        CPPUNIT_ASSERT(isDelayed(placed(m_session->onAttemptEnded(AttemptResult::Lost, m_at))));
        const TimePoint lostAt = m_at;
        sent(nextAction());
        CPPUNIT_ASSERT(m_at >= lostAt + Ms(1500) && m_at <= lostAt + Ms(1750));
    }

    void streamWaitsForARateLimit()
    {
        start();
        for (const std::string &id : servers.candidateIds("engine", m_at))
            exhaust(id);
        CPPUNIT_ASSERT(isDelayed(placed(m_session->onAttemptEnded(AttemptResult::Lost, m_at))));
        const TimePoint lostAt = m_at;
        sent(nextAction());
        CPPUNIT_ASSERT(m_at > lostAt + Ms(1000) && m_at <= lostAt + Ms(5000));
    }

    void streamWaitsForAServerToBeListed()
    {
        start();
        removeServers();
        CPPUNIT_ASSERT(isDelayed(placed(m_session->onAttemptEnded(AttemptResult::Lost, m_at))));
        expectWaiting(m_at + Ms(1000));
        servers.put(info("c3", "c"), m_at);
        CPPUNIT_ASSERT_EQUAL(std::string("c3"), sent(nextAction()).server.info.id);
    }

    // Guards against cutting a stream because all servers were full for a moment.
    void streamRejectedByAllAsksThemAgain()
    {
        addRetries(100);
        start();
        CPPUNIT_ASSERT(isDelayed(rejectAll(m_session->onAttemptEnded(AttemptResult::Lost, m_at))));
        for (int round = 0; round < 8; ++round) {
            sent(nextAction());
            m_session->onAttemptEnded(AttemptResult::NotRun, m_at);
        }
        sent(nextAction());
        CPPUNIT_ASSERT(m_session->onEvent(eventCount + 1, m_at) == EventVerdict::Next);
    }

    // Guards against streams that use up the budget of all without sending anything.
    void retryIsTakenOnceForAStreamThatWaitsForAServer()
    {
        start();
        removeServers();
        const double before = retryBudget.remaining("engine", m_at);
        placed(m_session->onAttemptEnded(AttemptResult::Lost, m_at));
        expectWaiting(m_at + Ms(1500));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(before - 1, retryBudget.remaining("engine", m_at), 1e-9);
    }

    // Guards against a caller that is held to its deadline.
    void streamIsCutWhenItsCallerHasGivenUp()
    {
        struct Case
        {
            Ms objective;
            Ms eventGap;
            Ms callerGap;
        };
        for (const Case &one : {Case {Ms(300), Ms(100), Ms(2000)},
                                {Ms(900), Ms(100), Ms(3600)},
                                {Ms(300), Ms(700), Ms(5600)},
                                {Ms(300), Ms(0), Ms(8000)}}) {
            m_route.latencyObjective = one.objective;
            m_route.maxEventGap = one.eventGap;
            start();
            const TimePoint last = m_at;
            removeServers();
            m_at += Ms(50);
            CPPUNIT_ASSERT(isDelayed(placed(m_session->onAttemptEnded(AttemptResult::Lost, m_at))));
            const ForwardAction end = nextAction();
            CPPUNIT_ASSERT_EQUAL(std::string_view("noServer"), std::get<AbortAnswer>(end).cause);
            CPPUNIT_ASSERT(m_at == last + one.callerGap);
            listServers();
        }
    }

    void streamThatCannotFinishInTimeIsCutAtOnce()
    {
        m_request.callerTimeout = Ms(2000);
        learnLatency();
        start();
        useUpRetries();
        m_session->onEvent(eventCount + 1, m_at);
        servers.remove(m_copyId, m_at);
        const ForwardAction action = m_session->onAttemptEnded(AttemptResult::Lost, m_at);
        CPPUNIT_ASSERT(std::holds_alternative<AbortAnswer>(action));
    }

    void streamWaitsNoLongerThanItCanFinish()
    {
        m_request.callerTimeout = Ms(4500);
        learnLatency();
        start();
        servers.remove(m_copyId, m_at);
        useUpRetries();
        CPPUNIT_ASSERT(isDelayed(m_session->onAttemptEnded(AttemptResult::Lost, m_at)));
        CPPUNIT_ASSERT(std::holds_alternative<AbortAnswer>(nextAction()));
        const std::int64_t missingEvents = 48 - eventCount; // 0.4 of the 120 that are allowed
        const TimePoint lastStart = now + Ms(4500)
            - latency.minRunDuration("engine", m_request.promptTokens, missingEvents);
        CPPUNIT_ASSERT(m_at > lastStart && m_at <= lastStart + Ms(200));
    }

    // Guards against reading a prompt again although the copy is there.
    void copyIsKeptDuringTheWait()
    {
        start();
        useUpRetries();
        m_session->onAttemptEnded(AttemptResult::Lost, m_at);
        expectWaiting(m_at + Ms(1000));
        CPPUNIT_ASSERT_EQUAL(1U, servers.server(m_copyId, m_at)->copies);
        addRetries(2);
        const ForwardAction next = nextAction();
        CPPUNIT_ASSERT(sent(next).fromCopy);
        CPPUNIT_ASSERT_EQUAL(m_copyId, sent(next).server.info.id);
    }

    void copyAtAPausedServerIsKeptDuringTheWait()
    {
        start();
        pause(Ms(1500));
        CPPUNIT_ASSERT(isDelayed(placed(m_session->onAttemptEnded(AttemptResult::Lost, m_at))));
        const ForwardAction next = nextAction();
        CPPUNIT_ASSERT(sent(next).fromCopy);
        CPPUNIT_ASSERT_EQUAL(m_copyId, sent(next).server.info.id);
    }

    // Guards against memory that an engine keeps for a request that is over.
    void snapshotIsReleasedAfterAWaitInVain()
    {
        m_capabilities = {true, true, true, true};
        start();
        servers.remove(m_copyId, m_at);
        ForwardAction action = KeepWaiting {};
        for (std::int64_t id = eventCount + 1; !std::holds_alternative<CopyRun>(action); ++id) {
            CPPUNIT_ASSERT(id < 100);
            m_session->onEvent(id, m_at += Ms(30));
            action = m_session->check(m_at);
        }
        m_session->onCopied(std::get<CopyRun>(action), "h1", m_at);
        useUpRetries();
        CPPUNIT_ASSERT(isDelayed(m_session->onAttemptEnded(AttemptResult::Lost, m_at)));
        while (!std::holds_alternative<AbortAnswer>(action)) {
            m_at = m_session->nextCheck();
            while (retryBudget.tryConsume("engine", m_at)) { }
            action = m_session->check(m_at);
        }
        m_session->endCopies();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), released.size());
    }

    // Guards against holding a request that its caller can send again.
    void streamWithoutAnEventIsRefusedAtOnce()
    {
        start(0);
        useUpRetries();
        const ForwardAction action = m_session->onAttemptEnded(AttemptResult::NotRun, m_at);
        CPPUNIT_ASSERT_EQUAL(503, refused(action).status);
        CPPUNIT_ASSERT(refused(action).retryAfter > Ms(0));
        now += Ms(11'000);
        start(0);
        useUpRetries();
        CPPUNIT_ASSERT_EQUAL(502,
                             refused(m_session->onAttemptEnded(AttemptResult::Lost, m_at)).status);
    }

    void streamThatIsNotResumableIsCutAtOnce()
    {
        m_route.isResumable = false;
        start();
        const ForwardAction action = m_session->onAttemptEnded(AttemptResult::Lost, m_at);
        CPPUNIT_ASSERT(std::holds_alternative<AbortAnswer>(action));
    }

    void streamWithoutAttemptsLeftIsCutAtOnce()
    {
        m_route.maxAttempts = 1;
        start();
        const ForwardAction action = m_session->onAttemptEnded(AttemptResult::Lost, m_at);
        CPPUNIT_ASSERT(std::holds_alternative<AbortAnswer>(action));
    }

    // Guards against a begun stream that is cut with time left because its servers were lost
    // (inc8).
    void attemptsThatEndedWithTheirServersAreNotCounted()
    {
        m_route.maxAttempts = 2;
        start();
        for (int loss = 0; loss < 4; ++loss)
            loseServer();
        placed(m_session->onAttemptEnded(AttemptResult::Lost, m_at));
        const ForwardAction action = m_session->onAttemptEnded(AttemptResult::Lost, m_at);
        CPPUNIT_ASSERT(std::holds_alternative<AbortAnswer>(action));
    }

    // Its prompt may be what its servers crashed of.
    void promptPaysForEachAttempt()
    {
        m_route.maxAttempts = 2;
        start(0);
        loseServer();
        const ForwardAction action = m_session->onAttemptEnded(AttemptResult::Lost, m_at);
        CPPUNIT_ASSERT_EQUAL(502, refused(action).status);
    }

    // Guards against all streams of a lost server that ask the same servers in one moment.
    void streamsThatWaitDoNotLookTogether()
    {
        std::set<TimePoint> looks;
        for (int i = 0; i < 20; ++i) {
            start();
            useUpRetries();
            m_session->onAttemptEnded(AttemptResult::Lost, m_at);
            looks.insert(m_session->nextCheck());
            retryBudget.deposit("engine", now);
        }
        CPPUNIT_ASSERT(looks.size() > 10);
    }

    void delayIsReportedOnceForEachReason()
    {
        start();
        useUpRetries();
        const ForwardAction first = m_session->onAttemptEnded(AttemptResult::Lost, m_at);
        CPPUNIT_ASSERT_EQUAL(std::string_view("noRetry"), std::get<DelayAttempt>(first).reason);
        expectWaiting(m_at + Ms(500));
        removeServers();
        addRetries(2);
        const ForwardAction second = nextAction();
        CPPUNIT_ASSERT_EQUAL(std::string_view("noServer"), std::get<DelayAttempt>(second).reason);
        expectWaiting(m_at + Ms(500));
    }

private:
    static constexpr std::int64_t eventCount = 10;

    void start(std::int64_t events = eventCount)
    {
        m_request.arrivedAt = now;
        m_session.emplace(m_route, m_request, context(), m_capabilities);
        m_at = now;
        const ForwardAction first = placed(m_session->start(now));
        m_serverId = sent(first).server.info.id;
        m_copyId = sent(first).copyTo ? sent(first).copyTo->info.id : "";
        if (events > 0)
            m_at = now + Ms(1000);
        for (std::int64_t id = 1; id <= events; ++id)
            m_session->onEvent(id, m_at += Ms(30));
    }

    /// If \a action is a probe, answers that all servers are idle; returns the next action.
    // The server of the stream is lost and restarts, and the stream goes on elsewhere.
    void loseServer()
    {
        BackendInfo lost = servers.server(m_serverId, m_at)->info;
        const ForwardAction next = placed(m_session->onAttemptEnded(AttemptResult::Lost, m_at));
        m_serverId = sent(next).server.info.id;
        ++lost.startedAtMs;
        servers.put(lost, m_at);
    }

    ForwardAction placed(const ForwardAction &action)
    {
        const auto *probe = std::get_if<ProbeServers>(&action);
        if (!probe)
            return action;
        std::vector<ServerProbeResult> reports;
        for (const BackendState &server : probe->servers)
            reports.push_back({server.info.id, {}, false, 0});
        return m_session->onProbed(reports, m_at);
    }

    /// Checks the time limits until something is to be done; returns what.
    ForwardAction nextAction()
    {
        ForwardAction action = KeepWaiting {};
        const TimePoint limit = m_at + Ms(20'000);
        while (std::holds_alternative<KeepWaiting>(action) && m_at < limit) {
            CPPUNIT_ASSERT(m_session->nextCheck() >= m_at);
            m_at = m_session->nextCheck();
            action = placed(m_session->check(m_at));
        }
        return action;
    }

    void expectWaiting(TimePoint end)
    {
        while (m_session->nextCheck() < end) {
            CPPUNIT_ASSERT(m_session->nextCheck() > m_at);
            m_at = m_session->nextCheck();
            CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(placed(m_session->check(m_at))));
        }
    }

    /// Servers reject the request until no other one is tried.
    ForwardAction rejectAll(ForwardAction action)
    {
        action = placed(action);
        while (std::holds_alternative<SendAttempt>(action))
            action = placed(m_session->onAttemptEnded(AttemptResult::NotRun, m_at));
        return action;
    }

    void useUpRetries()
    {
        while (retryBudget.tryConsume("engine", m_at)) { }
    }

    /// Other requests arrive, which allow so many retries.
    void addRetries(int count)
    {
        for (int i = 0; i < 2 * count; ++i)
            retryBudget.deposit("engine", m_at);
    }

    void removeServers()
    {
        for (const std::string &id : servers.candidateIds("engine", m_at))
            servers.remove(id, m_at);
    }

    void pause(Ms length)
    {
        BackendAnswer away = answer(503);
        away.isNotRun = true;
        away.namesPause = true;
        away.pause = length;
        for (const std::string &id : servers.candidateIds("engine", m_at))
            pauses.recordAnswer(servers.server(id, m_at)->info, away, m_at);
    }

    /// The server names a rate limit, and all requests that it allows are sent.
    void exhaust(const std::string &id)
    {
        BackendAnswer limit = answer(200);
        limit.namesRateLimit = true;
        limit.rateLimit = 8;
        rateLimits.recordAnswer(id, limit, m_at, m_at);
        while (admission.tryAcquire(id, m_at)) { }
    }

    // Engines process 8,000 tokens in a second and produce an event every 30 ms.
    void learnLatency()
    {
        latency.recordFirstEvent("engine", 8000, Ms(1000));
        latency.recordEventInterval("engine", Ms(30));
    }

    HttpRoute m_route = route(CallKind::Stream);
    ForwardRequest m_request = request();
    StreamSession::EngineCapabilities m_capabilities {true, true, true};
    std::optional<StreamSession> m_session;
    std::string m_serverId; ///< of the current attempt
    std::string m_copyId;
    TimePoint m_at;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingStreamTest);
