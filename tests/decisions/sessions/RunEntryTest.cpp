#include "foxtailring/decisions/sessions/StreamSession.h"

#include "foxtailring/decisions/admission/RoomExplanation.h"
#include "foxtailring/decisions/admission/RunAdmission.h"

#include "ForwardFixture.h"

using namespace foxtailring;

// Too few slots for all: what a new run does while no engine has room.
class RunEntryTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(RunEntryTest);
    CPPUNIT_TEST(runWithoutRoomIsRefusedWithinATenthOfItsObjective);
    CPPUNIT_TEST(waitingRunTakesTheFirstRoom);
    CPPUNIT_TEST(begunRunIsPlacedWithoutRoom);
    CPPUNIT_TEST(engineIsToldTheUrgency);
    CPPUNIT_TEST(runOfAnUnreportedMemoryIsPlaced);
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

    // Guards against callers that learn only at their deadline that there is no room.
    void runWithoutRoomIsRefusedWithinATenthOfItsObjective()
    {
        StreamSession session = make();
        CPPUNIT_ASSERT(isDelayed(answered(session, session.start(now))));
        const ForwardAction last = runOn(session);
        const Refuse &refusal = refused(last);
        CPPUNIT_ASSERT_EQUAL(503, refusal.status);
        CPPUNIT_ASSERT(refusal.retryAfter >= Ms(250) && refusal.retryAfter <= Ms(9000));
        CPPUNIT_ASSERT(now <= m_request.arrivedAt + m_route.latencyObjective / 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_explanations.size());
        CPPUNIT_ASSERT(m_explanations.front().returnAfter == Duration {0});
        CPPUNIT_ASSERT(m_explanations.back().returnAfter > Duration {0});
        CPPUNIT_ASSERT(m_explanations.back().withoutMemory > 0);
    }

    void waitingRunTakesTheFirstRoom()
    {
        StreamSession session = make();
        CPPUNIT_ASSERT(isDelayed(answered(session, session.start(now))));
        m_memoryUsed = 20'000;
        sent(runOn(session));
    }

    // Guards against refusing the rest of an answer whose caller has a part of it.
    void begunRunIsPlacedWithoutRoom()
    {
        m_memoryUsed = 20'000;
        StreamSession session = make();
        sent(answered(session, session.start(now)));
        session.onEvent(1, now += Ms(1000));
        m_memoryUsed = 88'000;
        const ForwardAction lost = session.onAttemptEnded(AttemptResult::Lost, now += Ms(50));
        const ForwardAction next = answered(session, lost);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), sent(next).lastEventId.value());
    }

    void engineIsToldTheUrgency()
    {
        m_memoryUsed = 20'000;
        m_request.urgency = 3;
        StreamSession session = make();
        const ForwardAction first = answered(session, session.start(now));
        CPPUNIT_ASSERT_EQUAL(3U, sent(first).urgency.value());
        session.onEvent(1, now += Ms(1000));
        const ForwardAction lost = session.onAttemptEnded(AttemptResult::Lost, now += Ms(50));
        CPPUNIT_ASSERT_EQUAL(0U, sent(answered(session, lost)).urgency.value());
    }

    // Guards against refusals where engines do not report their memory.
    void runOfAnUnreportedMemoryIsPlaced()
    {
        m_memoryTotal = 0;
        StreamSession session = make();
        sent(answered(session, session.start(now)));
    }

private:
    StreamSession make()
    {
        ForwardContext shared = context();
        shared.runs = &m_runs;
        shared.onNoRoom = [this](const RoomExplanation &reason) {
            m_explanations.push_back(reason);
        };
        return {m_route, m_request, shared, {false, true, true}};
    }

    /// \brief Answers probes until there is another action: all engines use this much memory.
    ForwardAction answered(StreamSession &session, ForwardAction action)
    {
        while (const auto *probe = std::get_if<ProbeServers>(&action)) {
            std::vector<ServerProbeResult> reports;
            for (const BackendState &server : probe->servers)
                reports.push_back({server.info.id, {3, 0, 0, 0, m_memoryUsed, m_memoryTotal}});
            action = session.onProbed(reports, now += Ms(10));
        }
        return action;
    }

    ForwardAction runOn(StreamSession &session)
    {
        ForwardAction action = KeepWaiting {};
        while (std::holds_alternative<KeepWaiting>(action)) {
            now = session.nextCheck();
            action = answered(session, session.check(now));
        }
        return action;
    }

    HttpRoute m_route = route(CallKind::Stream);
    ForwardRequest m_request;
    RunAdmission m_runs {random};
    std::uint64_t m_memoryUsed = 88'000;
    std::uint64_t m_memoryTotal = 88'000;
    std::vector<RoomExplanation> m_explanations;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunEntryTest);
