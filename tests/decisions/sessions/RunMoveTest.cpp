#include "foxtailring/decisions/sessions/RunMove.h"

#include "foxtailring/decisions/admission/RunAdmission.h"
#include "foxtailring/decisions/sessions/StreamSession.h"

#include "ForwardFixture.h"

using namespace foxtailring;

// Many gateways placed runs at one engine by the same report, while others are idle.
class RunMoveTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(RunMoveTest);
    CPPUNIT_TEST(waitingRunGoesOnAtAnIdleEngine);
    CPPUNIT_TEST(runInProcessingStays);
    CPPUNIT_TEST(runStaysIfTheOtherEnginesHavePrompts);
    CPPUNIT_TEST(lastRetryIsLeftToRunsThatAreLost);
    CPPUNIT_TEST(runIsMovedTwiceAtMost);
    CPPUNIT_TEST(onlySomeOfTheRunsOfAnEngineMove);
    CPPUNIT_TEST(runStaysWhereRunsAreNotAdmitted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        listServers();
        m_route.latencyObjective = Ms(4000);
        m_route.timeout = Ms(25'000);
        m_request = request();
        m_request.callerTimeout = Ms(25'000);
    }

    // Guards against runs that wait for seconds beside idle engines.
    void waitingRunGoesOnAtAnIdleEngine()
    {
        StreamSession session = make();
        const std::string first = begin(session);
        const ForwardAction action = look(session, waiting(1, 8000));
        CPPUNIT_ASSERT_EQUAL(std::string("engineQueue"), std::string(sent(action).cause));
        CPPUNIT_ASSERT(sent(action).keepsLatest && sent(action).server.info.id != first);
        CPPUNIT_ASSERT(session.nextCheck() <= now + Ms(400));
    }

    // Guards against prompts that are processed in vain.
    void runInProcessingStays()
    {
        StreamSession session = make();
        begin(session);
        CPPUNIT_ASSERT(isKept(look(session, waiting(0, 0))));
        CPPUNIT_ASSERT(isKept(look(session, waiting(2, 5000))));
        StreamSession other = make();
        begin(other);
        CPPUNIT_ASSERT(isKept(look(other, waiting(1, 5000))));
    }

    void runStaysIfTheOtherEnginesHavePrompts()
    {
        StreamSession session = make();
        begin(session);
        m_others = {1, 0, 0, 1, 9'000, 88'000};
        CPPUNIT_ASSERT(isKept(look(session, waiting(1, 8000))));
        m_others = {};
        CPPUNIT_ASSERT_MESSAGE("asked again at once", isKept(look(session, waiting(1, 8000))));
        look(session, waiting(1, 8000));
        CPPUNIT_ASSERT(!isKept(look(session, waiting(1, 8000))));
    }

    // Engines crash while others are slow.
    void lastRetryIsLeftToRunsThatAreLost()
    {
        StreamSession session = make();
        begin(session);
        while (retryBudget.hasSpareRetry("engine", now))
            retryBudget.tryConsume("engine", now);
        CPPUNIT_ASSERT(retryBudget.hasRetry("engine", now));
        CPPUNIT_ASSERT(isKept(look(session, waiting(1, 8000))));
        CPPUNIT_ASSERT(retryBudget.hasRetry("engine", now));
    }

    void runIsMovedTwiceAtMost()
    {
        StreamSession session = make();
        begin(session);
        sent(look(session, waiting(1, 8000)));
        sent(look(session, waiting(1, 8000)));
        for (int report = 0; report < 5; ++report)
            CPPUNIT_ASSERT(isKept(look(session, waiting(1, 8000))));
    }

    // Guards against all runs leaving an engine by the same report, for the same other one.
    void onlySomeOfTheRunsOfAnEngineMove()
    {
        int moved = 0;
        for (int run = 0; run < 60; ++run) {
            retryBudget.deposit("engine", now);
            RunMove move(m_context, m_request, m_service);
            move.start(*servers.server("a1", now), now);
            moved += move.startSearch(waiting(6, 8000), now + Ms(400)) ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(moved), moved >= 3 && moved <= 20);
    }

    // Guards against changes for deployments without urgencies and told paces.
    void runStaysWhereRunsAreNotAdmitted()
    {
        StreamSession session(m_route, m_request, context(), {false, true, true});
        begin(session);
        CPPUNIT_ASSERT(isKept(look(session, waiting(1, 8000))));
    }

private:
    StreamSession make() { return {m_route, m_request, m_context, {false, true, true}}; }

    ForwardContext admittingContext()
    {
        ForwardContext shared = context();
        shared.runs = &m_runs;
        return shared;
    }

    /// \brief Sends the run. Returns its server.
    std::string begin(StreamSession &session)
    {
        return sent(answered(session, session.start(now))).server.info.id;
    }

    static bool isKept(const ForwardAction &action)
    {
        return std::holds_alternative<KeepWaiting>(action);
    }

    /// \brief Of an engine that processes two prompts.
    static ServerProbeResult waiting(std::uint32_t count, std::uint64_t firstTokens)
    {
        ServerProbeResult report {"", {2, count, 12, 2, 18'000, 88'000}};
        if (firstTokens > 0)
            report.firstWaitingTokens = firstTokens;
        report.listsRuns = true;
        return report;
    }

    /// \brief The run's server is asked next, and sends \a report; the others send m_others.
    ForwardAction look(StreamSession &session, ServerProbeResult report)
    {
        ForwardAction action = KeepWaiting {};
        while (!std::holds_alternative<ProbeServers>(action)) {
            now = session.nextCheck();
            action = session.check(now);
        }
        report.serverId = std::get<ProbeServers>(action).servers.front().info.id;
        return answered(session, session.onProbed({&report, 1}, now += Ms(10)));
    }

    ForwardAction answered(StreamSession &session, ForwardAction action)
    {
        while (const auto *probe = std::get_if<ProbeServers>(&action)) {
            std::vector<ServerProbeResult> reports;
            for (const BackendState &server : probe->servers)
                reports.push_back({server.info.id, m_others});
            action = session.onProbed(reports, now += Ms(10));
        }
        return action;
    }

    HttpRoute m_route = route(CallKind::Stream);
    ForwardRequest m_request;
    const std::string m_service = "engine";
    RunAdmission m_runs {random};
    const ForwardContext m_context = admittingContext();
    BackendLoadReport m_others {0, 0, 0, 0, 0, 88'000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunMoveTest);
