#include "foxtailring/decisions/sessions/AttemptWatch.h"

#include "foxtailring/decisions/placement/AdmittedPlacer.h"

#include "ForwardFixture.h"

#include <vector>

using namespace foxtailring;

class AttemptWatchTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(AttemptWatchTest);
    CPPUNIT_TEST(silentServerIsProbedOnANewConnection);
    CPPUNIT_TEST(probeInProgressDecides);
    CPPUNIT_TEST(reportThatListsTheRunShowsItWorks);
    CPPUNIT_TEST(serverInAPauseWorks);
    CPPUNIT_TEST(eventOutweighsTheProbe);
    CPPUNIT_TEST(eventsThatDidNotArriveShowALostConnection);
    CPPUNIT_TEST(restartNeedsTwoReports);
    CPPUNIT_TEST(runThatMayWaitIsUnlisted);
    CPPUNIT_TEST(runThatIsGoneIsSilent);
    CPPUNIT_TEST(serverThatProducesNothingIsGivenUp);
    CPPUNIT_TEST(doubtfulServerWithoutAnEventIsGivenUp);
    CPPUNIT_TEST(keptAttemptIsCheckedLaterAndByItsProbes);
    CPPUNIT_TEST(attemptThatWasNotWatchedIsProbedFirst);
    CPPUNIT_TEST(engineThatReportsNothingIsWaitedFor);
    CPPUNIT_TEST(serverThatMayNotBeAskedIsWaitedFor);
    CPPUNIT_TEST(silenceOfSoundServersIsOutlasted);
    CPPUNIT_TEST(resumedProgressGoesOn);
    CPPUNIT_TEST(reportsOfTheReplacementDoNotCountForTheFallback);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        listServers();
        make(true);
    }

    // A server that loses power sends no reset, and its idle connections may be dead.
    void silentServerIsProbedOnANewConnection()
    {
        tenEvents();
        const ProbeServers probe = probeAtDue();
        CPPUNIT_ASSERT(m_at <= m_lastEventAt + Ms(220));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), probe.servers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), probe.servers.front().info.id);
        CPPUNIT_ASSERT(probe.useNewConnections);
        CPPUNIT_ASSERT(m_watch->isProbing());
        CPPUNIT_ASSERT(onProbed({}, m_at + probe.timeout) == Finding::Unanswered);
        CPPUNIT_ASSERT(!m_watch->isProbing());
    }

    // Guards against a second probe, whose answer would be expected later.
    void probeInProgressDecides()
    {
        tenEvents();
        probeAtDue();
        CPPUNIT_ASSERT(m_watch->dueAt(now) > m_at + Ms(500));
        CPPUNIT_ASSERT(check(m_at + Ms(10)) == Finding::Open);
    }

    void reportThatListsTheRunShowsItWorks()
    {
        tenEvents();
        probeAtDue();
        CPPUNIT_ASSERT(onProbed({report(true, 10)}, m_at) == Finding::Working);
        CPPUNIT_ASSERT(m_watch->progress().lastContactAt() == m_at);
        CPPUNIT_ASSERT(m_watch->dueAt(now) > m_at);
    }

    void serverInAPauseWorks()
    {
        tenEvents();
        probeAtDue();
        ServerProbeResult away = report(false, 0);
        away.isTurnedAway = true;
        CPPUNIT_ASSERT(onProbed({away}, m_at) == Finding::Working);
    }

    // Guards against a probe that ends an attempt which has delivered meanwhile.
    void eventOutweighsTheProbe()
    {
        tenEvents();
        probeAtDue();
        m_watch->recordEvent(m_at + Ms(1));
        CPPUNIT_ASSERT(!m_watch->isProbing());
        CPPUNIT_ASSERT(onProbed({}, m_at + Ms(120)) == Finding::Open);
    }

    // Guards against waiting on a dead connection while the server continues the run.
    void eventsThatDidNotArriveShowALostConnection()
    {
        tenEvents();
        probeAtDue();
        CPPUNIT_ASSERT(onProbed({report(true, 14)}, m_at) == Finding::Silent);
    }

    // Guards against a run that is ended by one spoiled start time, and against waiting for one
    // that a restart has ended.
    void restartNeedsTwoReports()
    {
        for (const bool isConfirmed : {true, false}) {
            make(true);
            tenEvents();
            probeAtDue();
            ServerProbeResult later = report(false, 0);
            servers.recordReport("a1", 2, m_at);
            CPPUNIT_ASSERT(onProbed({later}, m_at) == Finding::Open);
            probeAtDue();
            later.hasRun = !isConfirmed;
            later.eventCount = 10;
            servers.recordReport("a1", isConfirmed ? 2 : 1, m_at);
            CPPUNIT_ASSERT(onProbed({later}, m_at)
                           == (isConfirmed ? Finding::Restarted : Finding::Working));
            servers.remove("a1", m_at);
            listServers();
        }
    }

    // A preempted run waits unlisted. Guards against taking its server for failed.
    void runThatMayWaitIsUnlisted()
    {
        eventsFor(Ms(1500));
        probeAtDue();
        ServerProbeResult without = report(false, 0);
        without.listsRuns = true;
        without.load.waiting = 1;
        CPPUNIT_ASSERT(onProbed({without}, m_at) == Finding::Unlisted);
        CPPUNIT_ASSERT(m_watch->progress().lastContactAt() == m_at);
    }

    void runThatIsGoneIsSilent()
    {
        eventsFor(Ms(1500));
        probeAtDue();
        ServerProbeResult without = report(false, 0);
        without.listsRuns = true;
        CPPUNIT_ASSERT(onProbed({without}, m_at) == Finding::Silent);
    }

    // Guards against waiting until the deadline for a server that only answers probes.
    void serverThatProducesNothingIsGivenUp()
    {
        tenEvents();
        Finding finding = Finding::Working;
        while (finding == Finding::Working && m_at < m_lastEventAt + Ms(4000)) {
            m_at = m_watch->dueAt(now);
            const AttemptWatch::Step step = m_watch->check(server(), now, m_at);
            finding = std::holds_alternative<Finding>(step) ? std::get<Finding>(step)
                                                            : onProbed({report(true, 10)}, m_at);
        }
        CPPUNIT_ASSERT(finding == Finding::Silent);
        CPPUNIT_ASSERT(m_at >= m_lastEventAt + Ms(2000));
    }

    // Guards against probes that time out one after the other while a whole zone fails.
    void doubtfulServerWithoutAnEventIsGivenUp()
    {
        failZone(info("a1", "a"), now + Ms(390));
        m_at = m_watch->dueAt(now);
        CPPUNIT_ASSERT(check(m_at) == Finding::Silent);
        m_watch->recordEvent(now);
        probeAtDue();
    }

    // Guards against a kept attempt that is never probed again, and so is not seen to work.
    void keptAttemptIsCheckedLaterAndByItsProbes()
    {
        failZone(info("a1", "a"), now + Ms(390));
        m_at = now + Ms(400);
        m_watch->keepSilent(m_at);
        CPPUNIT_ASSERT(m_watch->dueAt(now) >= m_at + Ms(300));
        probeAtDue();
        CPPUNIT_ASSERT(onProbed({report(true, 0)}, m_at) == Finding::Working);
        m_watch->keepSilent(m_at);
        m_watch->endKeeping();
        CPPUNIT_ASSERT(m_watch->dueAt(now) < m_at + Ms(500));
    }

    // Guards against ending a sound attempt because it was not probed while it was the fallback.
    void attemptThatWasNotWatchedIsProbedFirst()
    {
        tenEvents();
        m_at = m_lastEventAt + Ms(3000);
        CPPUNIT_ASSERT(check(m_at) == Finding::Silent);
        m_watch->requireProbe();
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(m_watch->check(server(), now, m_at)));
        CPPUNIT_ASSERT(onProbed({report(true, 10)}, m_at) == Finding::Working);
        CPPUNIT_ASSERT(check(m_at) == Finding::Silent);
    }

    void engineThatReportsNothingIsWaitedFor()
    {
        make(false);
        tenEvents();
        m_at = m_watch->dueAt(now);
        CPPUNIT_ASSERT(check(m_at) == Finding::Open);
        CPPUNIT_ASSERT(m_watch->dueAt(now) > m_at);
        m_watch->requireProbe();
        CPPUNIT_ASSERT(check(m_lastEventAt + Ms(2200)) == Finding::Open);
        CPPUNIT_ASSERT(check(m_lastEventAt + Ms(2200)) == Finding::Silent);
    }

    // Guards against probes beyond a pause, and against a kept attempt that never ends.
    void serverThatMayNotBeAskedIsWaitedFor()
    {
        tenEvents();
        BackendAnswer pause = answer(503);
        pause.namesPause = true;
        pause.pause = Ms(9000);
        pauses.recordAnswer(info("a1", "a"), pause, now);
        m_at = m_watch->dueAt(now);
        CPPUNIT_ASSERT(check(m_at) == Finding::Open);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), paused.size());
        m_watch->keepSilent(m_at);
        CPPUNIT_ASSERT(check(m_watch->dueAt(now)) == Finding::Silent);
    }

    // Sound servers pause for a second or more. The caller of a stream that has not begun can be
    // told to return, so it is not kept as long.
    void silenceOfSoundServersIsOutlasted()
    {
        CPPUNIT_ASSERT(m_watch->mayOutlastSilence(false, now + Ms(1900)));
        CPPUNIT_ASSERT(!m_watch->mayOutlastSilence(false, now + Ms(2000)));
        CPPUNIT_ASSERT(m_watch->mayOutlastSilence(true, now + Ms(4900)));
        CPPUNIT_ASSERT(!m_watch->mayOutlastSilence(true, now + Ms(5000)));
    }

    // Guards against judging the fallback by the attempt that was to replace it.
    void resumedProgressGoesOn()
    {
        tenEvents();
        const RunProgress earlier = m_watch->progress();
        m_watch->start(true, m_lastEventAt + Ms(400));
        CPPUNIT_ASSERT(!m_watch->progress().hasEvents());
        m_at = m_watch->dueAt(now);
        m_watch->keepSilent(m_at);
        m_watch->resume(earlier);
        CPPUNIT_ASSERT_EQUAL(10U, m_watch->progress().eventCount());
        CPPUNIT_ASSERT(m_watch->dueAt(now) <= m_lastEventAt + Ms(220));
    }

    // Guards against ending the fallback after one spoiled start time, because a report of the
    // server that was to replace it named a later start, too.
    void reportsOfTheReplacementDoNotCountForTheFallback()
    {
        eventsFor(Ms(1500));
        const RunProgress earlier = m_watch->progress();
        ServerProbeResult later = report(false, 0);
        later.listsRuns = true;
        m_watch->start(false, m_at);
        probeAtDue();
        servers.recordReport("a1", 2, m_at);
        CPPUNIT_ASSERT(onProbed({later}, m_at) == Finding::Open);
        servers.recordReport("a1", 1, m_at);
        m_watch->resume(earlier);
        m_watch->requireProbe();
        probeAtDue();
        servers.recordReport("a1", 2, m_at);
        CPPUNIT_ASSERT(onProbed({later}, m_at) == Finding::Open);
    }

private:
    using Finding = AttemptWatch::Finding;

    /// \brief A new attempt is sent to the server `a1`.
    void make(bool canBeProbed)
    {
        m_watch.emplace(m_context, m_route, m_request, m_service, m_admittedPlacer, canBeProbed);
        m_watch->start(false, now);
        m_at = now;
    }

    BackendState server() { return *servers.server("a1", m_at); }

    /// \brief Ten events arrive, one every 30 ms.
    void tenEvents() { eventsFor(Ms(300)); }

    /// \brief An event arrives every 30 ms.
    void eventsFor(Ms time)
    {
        for (m_at = now + Ms(30); m_at <= now + time; m_at += Ms(30)) {
            m_watch->recordEvent(m_at);
            m_lastEventAt = m_at;
        }
    }

    ProbeServers probeAtDue()
    {
        m_at = m_watch->dueAt(now);
        const AttemptWatch::Step step = m_watch->check(server(), now, m_at);
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(step));
        return std::get<ProbeServers>(step);
    }

    Finding check(TimePoint at)
    {
        const AttemptWatch::Step step = m_watch->check(server(), now, at);
        CPPUNIT_ASSERT(std::holds_alternative<Finding>(step));
        return std::get<Finding>(step);
    }

    Finding onProbed(const std::vector<ServerProbeResult> &reports, TimePoint at)
    {
        return m_watch->onProbed(server(), reports, m_watch->progress().eventCount(), at);
    }

    static ServerProbeResult report(bool hasRun, std::int64_t eventCount)
    {
        return {"a1", {}, hasRun, eventCount};
    }

    const HttpRoute m_route = route(CallKind::Stream);
    const ForwardRequest m_request = request();
    const ForwardContext m_context = context();
    const std::string m_service = "engine";
    AdmittedPlacer m_admittedPlacer {m_context, m_service};
    std::optional<AttemptWatch> m_watch;
    TimePoint m_at;
    TimePoint m_lastEventAt;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptWatchTest);
