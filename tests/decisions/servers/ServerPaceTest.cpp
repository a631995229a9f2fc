#include "foxtailring/decisions/servers/ServerPace.h"

#include "sessions/ForwardFixture.h"

using namespace foxtailring;

class ServerPaceTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(ServerPaceTest);
    CPPUNIT_TEST(slowServerIsTold);
    CPPUNIT_TEST(kindsOfWorkAreComparedWithThemselves);
    CPPUNIT_TEST(fewSlowAnswersCountLittle);
    CPPUNIT_TEST(toldPaceAges);
    CPPUNIT_TEST(toldPaceIsNoPartOfTheUsualSpeed);
    CPPUNIT_TEST(restartedServerIsUnknown);
    CPPUNIT_TEST(figuresAgeByThemselves);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    void slowServerIsTold()
    {
        work(40);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.6 / 0.6, relative("a1") / relative("b1"), 0.5);
        CPPUNIT_ASSERT_EQUAL(1.0, relative("unknown"));
    }

    // Guards against a server that looks slow since it gets the long calls.
    void kindsOfWorkAreComparedWithThemselves()
    {
        for (int i = 0; i < 40; ++i) {
            record("a1", "short", 10);
            record("b1", "short", 10);
            record("a1", "long", 500);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(relative("b1"), relative("a1"), 0.05);
    }

    // Guards against a server that loses its calls after one garbage collection.
    void fewSlowAnswersCountLittle()
    {
        for (int i = 0; i < 40; ++i) {
            record("a1", "read", 20);
            record("b1", "read", 20);
        }
        record("a1", "read", 5000);
        CPPUNIT_ASSERT(relative("a1") < 1.2);
    }

    // Guards against a pace of several hundred milliseconds ago that is taken for the present one.
    void toldPaceAges()
    {
        CPPUNIT_ASSERT(!servers.pace().isTold());
        servers.pace().recordTold("a1", 2.5, now);
        CPPUNIT_ASSERT(servers.pace().isTold());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, relative("a1"), 0.01);
        now += Ms(300);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.75, relative("a1"), 0.01);
        now += Ms(300);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, relative("a1"), 0.01);
    }

    // Guards against a machine that stays slow for this process after its neighbour has gone.
    void toldPaceIsNoPartOfTheUsualSpeed()
    {
        for (int i = 0; i < 40; ++i) {
            servers.pace().recordTold("a1", 2.5, now);
            record("a1", "read", 50);
            record("b1", "read", 20);
        }
        now += Ms(1000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, relative("a1"), 0.05);
    }

    void restartedServerIsUnknown()
    {
        work(40);
        BackendInfo restarted = info("a1", "a");
        restarted.startedAtMs = 2;
        servers.put(restarted, now);
        CPPUNIT_ASSERT_EQUAL(1.0, relative("a1"));
    }

    // Guards against an old number of waiting requests that a new number of running ones renews.
    void figuresAgeByThemselves()
    {
        servers.recordFigures("a1", {2, 5, 6, {}, 0}, now);
        const TimePoint first = now;
        now += Ms(100);
        servers.recordFigures("a1", {3, {}, {}, 1.5, 1}, now);
        const auto reported = servers.server("a1", now)->reported;
        CPPUNIT_ASSERT(reported.running.value == 3U && reported.running.at == now);
        CPPUNIT_ASSERT(reported.waiting.value == 5U && reported.waiting.at == first);
        CPPUNIT_ASSERT(reported.slots.value == 6U);
    }

private:
    void record(const std::string &id, std::string_view kind, int ms)
    {
        servers.pace().recordWork(info(id, id.substr(0, 1)), kind, Ms(ms), now);
    }

    void work(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            record("a1", "read", 48);
            record("b1", "read", 18);
            record("c1", "read", 30);
        }
    }

    double relative(const std::string &id) const
    {
        return servers.pace().relativeDuration(id, now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerPaceTest);
