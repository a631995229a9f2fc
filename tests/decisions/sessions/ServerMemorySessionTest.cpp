#include "foxtailring/decisions/servers/ServerMemory.h"
#include "foxtailring/decisions/sessions/CallSession.h"

#include "ForwardFixture.h"

using namespace foxtailring;

// Large requests while servers hold as many bytes as their memory was seen to take.
class ServerMemorySessionTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(ServerMemorySessionTest);
    CPPUNIT_TEST(largeRequestGoesToAServerThatHoldsLittle);
    CPPUNIT_TEST(largeRequestIsRefusedIfNoServerHasRoom);
    CPPUNIT_TEST(smallRequestIsServedAllTheSame);
    CPPUNIT_TEST(lostRequestsLimitTheirService);
    CPPUNIT_TEST(bodiesAreCountedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        listServers();
        m_request = request();
        m_request.bodyBytes = mebi;
    }

    // Guards against a server that crashes, with all its requests, because of one more.
    void largeRequestGoesToAServerThatHoldsLittle()
    {
        limitTo3();
        for (const char *id : {"a1", "a2", "b1", "b2", "c1"})
            hold(id, 3);
        CPPUNIT_ASSERT_EQUAL(std::string("c2"), sent(start()).server.info.id);
        CPPUNIT_ASSERT_EQUAL(mebi, m_memory.held("c2"));
    }

    // Guards against holding a request until its deadline, and against a crash.
    void largeRequestIsRefusedIfNoServerHasRoom()
    {
        limitTo3();
        for (const char *id : {"a1", "a2", "b1", "b2", "c1", "c2"})
            hold(id, 3);
        const ForwardAction action = start();
        CPPUNIT_ASSERT_EQUAL(503, refused(action).status);
        CPPUNIT_ASSERT_EQUAL(std::string_view("serverMemory"), refused(action).cause);
        CPPUNIT_ASSERT(refused(action).retryAfter >= Ms(250));
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), m_reached);
    }

    void smallRequestIsServedAllTheSame()
    {
        largeRequestIsRefusedIfNoServerHasRoom();
        m_request.bodyBytes = 1000;
        sent(start());
    }

    void lostRequestsLimitTheirService()
    {
        for (int i = 0; i < 3; ++i)
            hold("a1", 1);
        while (sent(start()).server.info.id != "a1")
            CPPUNIT_ASSERT(m_session->possibleRuns() == 0);
        m_session->onAttemptEnded(AttemptResult::Lost, now);
        CPPUNIT_ASSERT_EQUAL(3 * mebi, m_memory.limit("engine", now).value());
    }

    void bodiesAreCountedOnce()
    {
        const std::string id = sent(start()).server.info.id;
        CPPUNIT_ASSERT_EQUAL(mebi, m_memory.held(id));
        m_session->onAnswer(answer(200), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_memory.held(id));
        sent(start());
        m_session->onAttemptEnded(AttemptResult::NotRun, now);
        m_session.reset();
        for (const char *one : {"a1", "a2", "b1", "b2", "c1", "c2"})
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_memory.held(one));
    }

private:
    static constexpr std::size_t mebi = std::size_t {1024} * 1024;

    void limitTo3()
    {
        hold("x", 4);
        m_memory.recordCrash("x", now);
    }

    void hold(const std::string &id, int requests)
    {
        for (int i = 0; i < requests; ++i)
            m_memory.startRequest("engine", id, mebi);
    }

    ForwardAction start()
    {
        ForwardContext shared = context();
        shared.serverMemory = &m_memory;
        shared.onServerMemoryReached = [this](std::string_view) { ++m_reached; };
        m_session.emplace(m_route, m_request, shared);
        return m_session->start(now);
    }

    const HttpRoute m_route = route(CallKind::Idempotent);
    ForwardRequest m_request;
    ServerMemory m_memory;
    std::size_t m_reached = 0;
    std::optional<CallSession> m_session;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerMemorySessionTest);
