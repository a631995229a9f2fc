#include "foxtailring/decisions/sessions/StreamSession.h"

#include "ForwardFixture.h"

using namespace foxtailring;

// A server that loses the answer of a run keeps the connection open, so only its reports show that
// the run is gone.
class UnlistedRunTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(UnlistedRunTest);
    CPPUNIT_TEST(runThatItsServerLostIsNotWaitedFor);
    CPPUNIT_TEST(unlistedRunIsKeptIfNothingElseCanTakeIt);
    CPPUNIT_TEST(unlistedRunIsKeptForALimitedTime);
    CPPUNIT_TEST(preemptedRunIsKeptIfNothingElseCanTakeIt);
    CPPUNIT_TEST(runThatVanishedIsKeptIfNothingElseCanTakeIt);
    CPPUNIT_TEST(runThatVanishedIsAbortedInTime);
    CPPUNIT_TEST(preemptedRunIsReplaced);
    CPPUNIT_TEST(engineThatPreemptsIsNotSuspected);
    CPPUNIT_TEST(preemptedRunIsKeptAsLongAsItsEngineMayWorkOnIt);
    CPPUNIT_TEST(engineThatPreemptsForLongIsNotSuspected);
    CPPUNIT_TEST(reportMayMissARunThatWasJustSent);
    CPPUNIT_TEST(runMayBeAmongTheWaitingOnes);
    CPPUNIT_TEST(runMayBeAmongThePromptsBeingRead);
    CPPUNIT_TEST(listedRunIsKept);
    CPPUNIT_TEST(serverThatListsNoRunsShowsNothing);
    CPPUNIT_TEST(serverThatListsNoRunsShowsNothingAfterEvents);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Ms firstReportAt {400};
    static constexpr std::int64_t eventCount = 40;

public:
    void setUp() override
    {
        listServers();
        m_route.latencyObjective = Ms(4500);
        m_route.timeout = Ms(25000);
    }

    // Guards against holding a caller until the limit for the first event (3.6 s on a played day).
    void runThatItsServerLostIsNotWaitedFor()
    {
        const ForwardAction next = lastActionWith([](ServerProbeResult &) {});
        const std::string other = sent(next).server.info.id;
        CPPUNIT_ASSERT(other != m_id);
        CPPUNIT_ASSERT(m_at <= now + Ms(1500));
    }

    // Guards against the refusal of a request whose body is still on its way to the engine.
    void unlistedRunIsKeptIfNothingElseCanTakeIt()
    {
        useUpRetries();
        expectKept({});
        m_session->onEvent(1, m_at);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(m_session->check(m_at)));
    }

    // Guards against holding a caller of a run that is lost although no other engine is left.
    void unlistedRunIsKeptForALimitedTime()
    {
        useUpRetries();
        expectKept({});
        ForwardAction action = KeepWaiting {};
        for (; m_at < now + Ms(3600); m_at = m_session->nextCheck()) {
            action = m_session->check(m_at);
            if (std::holds_alternative<ProbeServers>(action))
                action = m_session->onProbed(std::vector {unlisted()}, m_at);
            if (!std::holds_alternative<KeepWaiting>(action))
                break;
        }
        CPPUNIT_ASSERT_EQUAL(502, refused(action).status);
    }

    // Guards against cutting a stream that its engine has preempted and would go on with.
    void preemptedRunIsKeptIfNothingElseCanTakeIt()
    {
        startWithEvents();
        useUpRetries();
        expectKeptFor(Ms(6000), preempted());
        CPPUNIT_ASSERT(m_session->onEvent(eventCount + 1, m_at) == EventVerdict::Next);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(m_session->check(m_at)));
    }

    // Guards against cutting a stream because of one report that lags or is wrong.
    void runThatVanishedIsKeptIfNothingElseCanTakeIt()
    {
        startWithEvents();
        useUpRetries();
        expectKeptFor(Ms(3000), unlisted());
        CPPUNIT_ASSERT(m_session->onEvent(eventCount + 1, m_at) == EventVerdict::Next);
    }

    // Guards against holding a caller to its deadline for a run that is lost. Its attempt is ended
    // after 5 s; the caller gives up after four objectives without an event.
    void runThatVanishedIsAbortedInTime()
    {
        startWithEvents();
        const TimePoint last = m_at;
        ForwardAction action = KeepWaiting {};
        while (std::holds_alternative<KeepWaiting>(action) && m_at < last + Ms(8000))
            action = nextWithoutRetry();
        CPPUNIT_ASSERT(isDelayed(action));
        CPPUNIT_ASSERT(m_at <= last + Ms(6000));
        while (!std::holds_alternative<AbortAnswer>(action) && m_at < last + Ms(20000))
            action = nextWithoutRetry();
        CPPUNIT_ASSERT(std::holds_alternative<AbortAnswer>(action));
        CPPUNIT_ASSERT(m_at == last + 4 * m_route.latencyObjective);
    }

    // Guards against a pause of seconds until the engine has memory for the run again.
    void preemptedRunIsReplaced()
    {
        startWithEvents();
        const TimePoint last = m_at;
        ForwardAction action = KeepWaiting {};
        while (std::holds_alternative<KeepWaiting>(action) && m_at < last + Ms(2000))
            action = nextActionWith(preempted());
        action = m_session->onProbed(idle(std::get<ProbeServers>(action)), m_at);
        CPPUNIT_ASSERT(sent(action).fromCopy);
        CPPUNIT_ASSERT_EQUAL(std::string_view("unlisted"), sent(action).cause);
    }

    void engineThatPreemptsIsNotSuspected()
    {
        startWithEvents();
        useUpRetries();
        expectKeptFor(Ms(1000), preempted());
        CPPUNIT_ASSERT(servers.server(m_id, m_at)->health == BackendHealth::Healthy);
    }

    // Guards against cutting a stream because the limit for a stuck server has passed, although its
    // engine goes on to report that runs wait.
    void preemptedRunIsKeptAsLongAsItsEngineMayWorkOnIt()
    {
        startWithEvents();
        while (retryBudget.tryConsume("engine", m_at)) { }
        expectKeptFor(Ms(7500), preempted());
        CPPUNIT_ASSERT(m_session->onEvent(eventCount + 1, m_at) == EventVerdict::Next);
    }

    // Guards against keeping other requests from an engine that is only short of memory.
    void engineThatPreemptsForLongIsNotSuspected()
    {
        startWithEvents();
        useUpRetries();
        expectKeptFor(Ms(4000), preempted());
        CPPUNIT_ASSERT(servers.server(m_id, m_at)->health == BackendHealth::Healthy);
    }

    void reportMayMissARunThatWasJustSent()
    {
        start();
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(report(now + firstReportAt, {})));
    }

    void runMayBeAmongTheWaitingOnes()
    {
        expectKept([](ServerProbeResult &result) { result.load.waiting = 1; });
    }

    void runMayBeAmongThePromptsBeingRead()
    {
        expectKept([](ServerProbeResult &result) { result.load.prefilling = 1; });
    }

    void listedRunIsKept()
    {
        expectKept([](ServerProbeResult &result) { result.hasRun = true; });
    }

    // Guards against reading a prompt anew whenever an engine without such lists is slow.
    void serverThatListsNoRunsShowsNothing()
    {
        expectKept([](ServerProbeResult &result) { result.listsRuns = false; });
    }

    void serverThatListsNoRunsShowsNothingAfterEvents()
    {
        start();
        m_session->onEvent(1, now + Ms(1000));
        ServerProbeResult unknown;
        unknown.listsRuns = false;
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(reportOf(unknown, now + Ms(2500))));
    }

private:
    using Change = std::function<void(ServerProbeResult &)>;

    void start()
    {
        m_session.emplace(m_route, m_request, context(),
                          StreamSession::EngineCapabilities {true, true, true});
        const auto probe = std::get<ProbeServers>(m_session->start(now));
        m_id = sent(m_session->onProbed(idle(probe), now)).server.info.id;
    }

    static std::vector<ServerProbeResult> idle(const ProbeServers &probe)
    {
        std::vector<ServerProbeResult> results(probe.servers.size());
        for (std::size_t i = 0; i < results.size(); ++i)
            results[i].serverId = probe.servers[i].info.id;
        return results;
    }

    ServerProbeResult unlisted() const
    {
        ServerProbeResult result;
        result.serverId = m_id;
        result.listsRuns = true;
        return result;
    }

    /// Another run waits, or this one.
    ServerProbeResult preempted() const
    {
        ServerProbeResult result = unlisted();
        result.load.running = 2;
        result.load.waiting = 1;
        return result;
    }

    /// Events arrive every 30 ms, for longer than reports lag.
    void startWithEvents()
    {
        m_request.callerTimeout = m_route.timeout;
        start();
        m_at = now + Ms(1000);
        for (std::int64_t id = 1; id <= eventCount; ++id)
            m_session->onEvent(id, m_at += Ms(30));
    }

    /// Goes on to the next check; the run's server answers a probe with \a result.
    ForwardAction nextActionWith(const ServerProbeResult &result)
    {
        m_at = m_session->nextCheck();
        ForwardAction action = m_session->check(m_at);
        if (!std::holds_alternative<ProbeServers>(action))
            return action;
        m_at += Ms(10);
        return m_session->onProbed(std::vector {result}, m_at);
    }

    /// The same with an unlisted run; other requests use up the retries meanwhile.
    ForwardAction nextWithoutRetry()
    {
        const TimePoint at = m_session->nextCheck();
        while (retryBudget.tryConsume("engine", at)) { }
        return nextActionWith(unlisted());
    }

    void expectKeptFor(Ms time, const ServerProbeResult &result)
    {
        const TimePoint end = m_at + time;
        while (m_at < end)
            CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(nextActionWith(result)));
    }

    /// The run's server is probed at \a at and answers that it has no run, changed by \a change.
    ForwardAction report(TimePoint at, const Change &change)
    {
        ServerProbeResult result = unlisted();
        if (change)
            change(result);
        return reportOf(result, at);
    }

    ForwardAction reportOf(ServerProbeResult result, TimePoint at)
    {
        const ForwardAction probe = m_session->check(at);
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(probe));
        result.serverId = m_id;
        return m_session->onProbed(std::vector {result}, at);
    }

    /// Probes until the session does something else or two seconds have passed.
    ForwardAction lastActionWith(const Change &change)
    {
        start();
        for (m_at = now + firstReportAt; m_at < now + Ms(2000); m_at = m_session->nextCheck()) {
            ForwardAction action = report(m_at, change);
            if (const auto *probe = std::get_if<ProbeServers>(&action))
                return m_session->onProbed(idle(*probe), m_at);
            if (!std::holds_alternative<KeepWaiting>(action))
                return action;
        }
        return KeepWaiting {};
    }

    void expectKept(const Change &change)
    {
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(lastActionWith(change)));
    }

    HttpRoute m_route = route(CallKind::Stream);
    ForwardRequest m_request = request();
    std::optional<StreamSession> m_session;
    std::string m_id;
    TimePoint m_at;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnlistedRunTest);
