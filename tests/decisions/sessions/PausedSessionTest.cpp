#include "foxtailring/decisions/sessions/CallSession.h"
#include "foxtailring/decisions/sessions/StreamSession.h"

#include "ForwardFixture.h"
#include "limits/PauseSimulation.h"

#include <set>

using namespace foxtailring;

// What becomes of a request while servers ask for pauses.
class PausedSessionTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(PausedSessionTest);
    CPPUNIT_TEST(turnedAwayCallGoesToAnotherServer);
    CPPUNIT_TEST(pausedServerGetsNoCall);
    CPPUNIT_TEST(pauseIsNoFailureOfTheServer);
    CPPUNIT_TEST(callIsRefusedUntilTheFirstPauseEnds);
    CPPUNIT_TEST(singleServerIsNotRefusedLongerThanItAsked);
    CPPUNIT_TEST(callRejectedByEveryServerWaitsForThePause);
    CPPUNIT_TEST(serverThatIsFreeIsNotWaitedFor);
    CPPUNIT_TEST(otherServersArePreferredAfterThePause);
    CPPUNIT_TEST(suspectedServerIsNotPreferredAfterThePause);
    CPPUNIT_TEST(pauseDuringAPlacementProbeIsKept);
    CPPUNIT_TEST(turnedAwayPlacementProbeIsNoReport);
    CPPUNIT_TEST(pausedEngineIsNotProbed);
    CPPUNIT_TEST(silentRunAtAPausedEngineIsKeptUntilItIsStuck);
    CPPUNIT_TEST(turnedAwayLivenessProbeShowsALiveEngine);
    CPPUNIT_TEST(runDoesNotResumeAtAPausedEngine);
    CPPUNIT_TEST(copyIsNotPlacedAtAPausedEngine);
    CPPUNIT_TEST(snapshotIsNotOrderedFromAPausedEngine);
    CPPUNIT_TEST(reconnectingCallerDoesNotProbeAPausedEngine);
    CPPUNIT_TEST(fleetKeepsEveryPause);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    void turnedAwayCallGoesToAnotherServer()
    {
        CallSession session(m_call, request(), context());
        const std::string first = sent(session.start(now)).server.info.id;
        const ForwardAction next = turnAway(session, Ms(2000));
        CPPUNIT_ASSERT(first != sent(next).server.info.id);
        CPPUNIT_ASSERT(pauses.pausedUntil(first, now) == now + Ms(2000));
    }

    void pausedServerGetsNoCall()
    {
        pause({"a1", "a2"}, Ms(2000));
        for (int i = 0; i < 20; ++i) {
            CallSession session(m_call, request(), context());
            CPPUNIT_ASSERT(sent(session.start(now)).server.info.availabilityZone != "a");
            session.onAnswer(answer(200), now);
        }
        // Reported once for each call, so that the log explains where it went.
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), paused.size());
        now += Ms(2500);
        CallSession session(m_call, request(), context());
        CPPUNIT_ASSERT_EQUAL(std::string("a"),
                             sent(session.start(now)).server.info.availabilityZone);
    }

    // Guards against a server that is avoided as failing after its pause.
    void pauseIsNoFailureOfTheServer()
    {
        BackendAnswer signedAnswer = pauseAnswer(Ms(100));
        signedAnswer.isNotRun = false;
        for (const BackendAnswer &away : {pauseAnswer(Ms(100)), signedAnswer}) {
            for (int i = 0; i < 10; ++i) {
                CallSession session(m_call, request(), context());
                sent(session.start(now));
                session.onHead(away, now);
                session.onAnswer(away, now);
                now += Ms(700);
            }
        }
        for (const std::string &id : m_all) {
            CPPUNIT_ASSERT(servers.server(id, now)->health == BackendHealth::Healthy);
            CPPUNIT_ASSERT_EQUAL(0.0, servers.server(id, now)->failureRate);
        }
    }

    void callIsRefusedUntilTheFirstPauseEnds()
    {
        pause(m_all, Ms(9000));
        pause({"a1", "a2", "b2", "c1", "c2"}, Ms(12'000));
        std::set<std::int64_t> times;
        for (int i = 0; i < 20; ++i) {
            CallSession session(m_once, request(), context());
            const Refuse refusal = refused(session.start(now));
            CPPUNIT_ASSERT_EQUAL(503, refusal.status);
            CPPUNIT_ASSERT_EQUAL(std::string("serversPaused"), std::string(refusal.cause));
            CPPUNIT_ASSERT(refusal.retryAfter >= Ms(9000) && refusal.retryAfter <= Ms(9500));
            times.insert(refusal.retryAfter.count());
        }
        CPPUNIT_ASSERT(times.size() > 10);
    }

    void singleServerIsNotRefusedLongerThanItAsked()
    {
        for (const char *id : {"a2", "b1", "b2", "c1", "c2"})
            servers.remove(id, now);
        CallSession first(m_once, request(), context());
        sent(first.start(now));
        const Refuse refusal = refused(turnAway(first, Ms(2000)));
        CPPUNIT_ASSERT(refusal.retryAfter >= Ms(2000) && refusal.retryAfter <= Ms(2500));
        CallSession during(m_once, request(), context());
        CPPUNIT_ASSERT_EQUAL(503, refused(during.start(now + Ms(1999))).status);
        CallSession after(m_once, request(), context());
        sent(after.start(now + Ms(2000)));
    }

    // Guards against callers that are told to return while every server still wants no request.
    void callRejectedByEveryServerWaitsForThePause()
    {
        for (const char *id : {"a2", "b2", "c2"})
            servers.remove(id, now);
        CallSession session(m_once, request(), context());
        ForwardAction next = session.start(now);
        while (std::holds_alternative<SendAttempt>(next))
            next = turnAway(session, Ms(3000));
        CPPUNIT_ASSERT(refused(next).retryAfter >= Ms(3000));
        CPPUNIT_ASSERT(refused(next).retryAfter <= Ms(3500));
    }

    // Guards against a caller that is sent away for minutes although a server takes its next call.
    void serverThatIsFreeIsNotWaitedFor()
    {
        pause({"a2", "b1", "b2", "c1", "c2"}, Ms(60'000));
        CallSession session(m_once, request(), context());
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), sent(session.start(now)).server.info.id);
        const Refuse refusal = refused(session.onAttemptEnded(AttemptResult::NotRun, now));
        CPPUNIT_ASSERT(refusal.retryAfter <= Ms(1000));
    }

    // Guards against requests of all processes that meet at a server when its pause ends.
    void otherServersArePreferredAfterThePause()
    {
        pause({"a1", "a2"}, Ms(2000));
        now += Ms(2000);
        CPPUNIT_ASSERT(!pauses.returningIds(now).empty());
        std::set<std::string> used;
        for (int i = 0; i < 20; ++i) {
            CallSession session(m_call, request(), context());
            used.insert(sent(session.start(now)).server.info.id);
        }
        for (const std::string &id : pauses.returningIds(now))
            CPPUNIT_ASSERT(!used.contains(id));
    }

    // Guards against calls that a dead server gets because the others have just ended their pauses.
    void suspectedServerIsNotPreferredAfterThePause()
    {
        pause({"a1"}, Ms(2000));
        now += Ms(2000);
        CPPUNIT_ASSERT(!pauses.returningIds(now).empty());
        for (const char *id : {"a2", "b1", "b2", "c1", "c2"})
            servers.recordFailure(id, now);
        CallSession session(m_call, request(), context());
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), sent(session.start(now)).server.info.id);
    }

    // Guards against a decision that is older than the pause.
    void pauseDuringAPlacementProbeIsKept()
    {
        StreamSession session(m_stream, request(), context(), capabilities);
        const auto probe = std::get<ProbeServers>(session.start(now));
        pause(idsOf(probe), Ms(2000));
        const std::string chosen =
            sent(session.onProbed(reportsOf(probe), now + Ms(60))).server.info.id;
        CPPUNIT_ASSERT(!pauses.pausedUntil(chosen, now + Ms(60)));
    }

    void turnedAwayPlacementProbeIsNoReport()
    {
        StreamSession session(m_stream, request(), context(), capabilities);
        const auto probe = std::get<ProbeServers>(session.start(now));
        std::vector<ServerProbeResult> reports = reportsOf(probe);
        for (ServerProbeResult &report : reports)
            report.isTurnedAway = true;
        pause(idsOf(probe), Ms(2000));
        sent(session.onProbed(reports, now));
        for (const ServerProbeResult &report : reports)
            CPPUNIT_ASSERT(!servers.server(report.serverId, now)->load);
    }

    void pausedEngineIsNotProbed()
    {
        pause({"a1", "b1"}, Ms(2000));
        for (int i = 0; i < 20; ++i) {
            StreamSession session(m_stream, request(), context(), capabilities);
            const auto probe = std::get<ProbeServers>(session.start(now));
            for (const BackendState &server : probe.servers)
                CPPUNIT_ASSERT(server.info.id != "a1" && server.info.id != "b1");
        }
        pause(m_all, Ms(2000));
        StreamSession session(m_stream, request(), context(), capabilities);
        CPPUNIT_ASSERT_EQUAL(std::string("serversPaused"),
                             std::string(refused(session.start(now)).cause));
    }

    // Guards against a pause that ends the runs in progress, or that keeps a lost one for ever.
    void silentRunAtAPausedEngineIsKeptUntilItIsStuck()
    {
        StreamSession session(m_stream, request(), context(), capabilities);
        const SendAttempt first = startRun(session);
        pause({first.server.info.id}, Ms(10'000));
        const TimePoint stuckAt = now + 3 * m_stream.maxEventGap;
        TimePoint at = session.nextCheck();
        for (; at < stuckAt; at = session.nextCheck())
            CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(session.check(at)));
        const auto probe = std::get<ProbeServers>(session.check(at));
        CPPUNIT_ASSERT(sent(session.onProbed(reportsOf(probe), at)).server.info.id
                       != first.server.info.id);
    }

    // Guards against a live run that is given up, and an engine that is suspected, because it
    // answered the probe with a pause.
    void turnedAwayLivenessProbeShowsALiveEngine()
    {
        StreamSession session(m_stream, request(), context(), capabilities);
        const std::string id = startRun(session).server.info.id;
        now = session.nextCheck();
        const auto probe = std::get<ProbeServers>(session.check(now));
        std::vector<ServerProbeResult> reports = reportsOf(probe);
        reports.front().isTurnedAway = true;
        pause({id}, Ms(2000));
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(session.onProbed(reports, now)));
        CPPUNIT_ASSERT(servers.server(id, now)->health == BackendHealth::Healthy);
    }

    void runDoesNotResumeAtAPausedEngine()
    {
        StreamSession session(m_stream, request(), context(), capabilities);
        const std::string copy = startRun(session).copyTo->info.id;
        pause({copy}, Ms(2000));
        const ForwardAction next = session.onAttemptEnded(AttemptResult::Lost, now + Ms(100));
        for (const BackendState &server : std::get<ProbeServers>(next).servers)
            CPPUNIT_ASSERT(server.info.id != copy);
    }

    void copyIsNotPlacedAtAPausedEngine()
    {
        pause({"b1", "c1", "c2"}, Ms(2000));
        for (int i = 0; i < 20; ++i) {
            StreamSession session(m_stream, request(), context(), capabilities);
            const SendAttempt first = startRun(session);
            if (first.copyTo)
                CPPUNIT_ASSERT(!pauses.pausedUntil(first.copyTo->info.id, now));
            session.onFinished(now);
        }
    }

    void snapshotIsNotOrderedFromAPausedEngine()
    {
        for (const bool isPaused : {false, true}) {
            StreamSession session(m_stream, request(), context(), {true, true, true, true});
            const SendAttempt first = startRun(session);
            servers.recordFailure(first.copyTo->info.id, now);
            if (isPaused)
                pause({first.server.info.id}, Ms(2000));
            now += Ms(400);
            session.onEvent(2, now);
            CPPUNIT_ASSERT_EQUAL(!isPaused, std::holds_alternative<CopyRun>(session.check(now)));
            now += Ms(5000);
        }
    }

    void reconnectingCallerDoesNotProbeAPausedEngine()
    {
        pause({"a1", "b1", "c1"}, Ms(2000));
        ForwardRequest returning = request();
        returning.lastEventId = 4;
        StreamSession session(m_stream, returning, context(), capabilities);
        const auto probe = std::get<ProbeServers>(session.start(now));
        CPPUNIT_ASSERT(probe.subject == ProbeServers::Subject::Prompt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), probe.servers.size());
        for (const BackendState &server : probe.servers)
            CPPUNIT_ASSERT(!pauses.pausedUntil(server.info.id, now));
    }

    // Guards against a fleet in which each process sends little, but some send more than two
    // requests to a server within its pause.
    void fleetKeepsEveryPause()
    {
        PauseSimulation fleet(350, Ms(2000), Ms(6000));
        fleet.run(Ms(50), Ms(1000), Ms(9000));
        const std::string text = std::to_string(fleet.turnedAwayCount()) + " turned away, most "
            + std::to_string(fleet.mostInPause());
        CPPUNIT_ASSERT_MESSAGE(text, fleet.mostInPause() <= 2);
        CPPUNIT_ASSERT_MESSAGE(text, fleet.turnedAwayCount() > 350);
        CPPUNIT_ASSERT(fleet.servedCount() > 0 && fleet.refusedCount() > 0);
    }

private:
    static constexpr StreamSession::EngineCapabilities capabilities {true, true, true, false};

    static BackendAnswer pauseAnswer(Ms length)
    {
        BackendAnswer away;
        away.status = 503;
        away.isNotRun = true;
        away.namesPause = true;
        away.pause = length;
        return away;
    }

    ForwardAction turnAway(CallSession &session, Ms length)
    {
        session.onHead(pauseAnswer(length), now);
        return session.onAnswer(pauseAnswer(length), now);
    }

    void pause(const std::vector<std::string> &ids, Ms length)
    {
        for (const std::string &id : ids)
            pauses.recordAnswer(servers.server(id, now)->info, pauseAnswer(length), now);
    }

    /// Places the run and sends its first event.
    SendAttempt startRun(StreamSession &session)
    {
        const auto probe = std::get<ProbeServers>(session.start(now));
        SendAttempt first = sent(session.onProbed(reportsOf(probe), now));
        session.onEvent(1, now);
        return first;
    }

    static std::vector<std::string> idsOf(const ProbeServers &probe)
    {
        std::vector<std::string> ids;
        for (const BackendState &server : probe.servers)
            ids.push_back(server.info.id);
        return ids;
    }

    static std::vector<ServerProbeResult> reportsOf(const ProbeServers &probe)
    {
        std::vector<ServerProbeResult> reports;
        for (const std::string &id : idsOf(probe)) {
            ServerProbeResult one;
            one.serverId = id;
            reports.push_back(one);
        }
        return reports;
    }

    const std::vector<std::string> m_all {"a1", "a2", "b1", "b2", "c1", "c2"};
    const HttpRoute m_call = route(CallKind::Idempotent);
    const HttpRoute m_once = route(CallKind::NonIdempotent);
    const HttpRoute m_stream = route(CallKind::Stream);
};

CPPUNIT_TEST_SUITE_REGISTRATION(PausedSessionTest);
