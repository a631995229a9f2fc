#include "foxtailring/decisions/BackendTable.h"

#include "ForwardFixture.h"

using namespace foxtailring;

class BackendTableTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(BackendTableTest);
    CPPUNIT_TEST(drainingServerTakesNoWork);
    CPPUNIT_TEST(removedServerTakesNoWork);
    CPPUNIT_TEST(entriesThatLapsedWithTheStoreAreKept);
    CPPUNIT_TEST(entriesStillMissingAfterTheReturnAreGone);
    CPPUNIT_TEST(failedServerIsSuspectedForAWhile);
    CPPUNIT_TEST(oneCrashCountsOnce);
    CPPUNIT_TEST(zoneThatFailsMakesTheRestDoubtful);
    CPPUNIT_TEST(newStartIsTrusted);
    CPPUNIT_TEST(reusedAddressIsLeft);
    CPPUNIT_TEST(restartUnderAnotherIdTakesTheAddress);
    CPPUNIT_TEST(restartsAreUsedWhileTheListIsAway);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    void drainingServerTakesNoWork()
    {
        BackendInfo leaving = info("a1", "a");
        leaving.isDraining = true;
        servers.put(leaving, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now).size());
    }

    void removedServerTakesNoWork()
    {
        servers.remove("a1", now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now).size());
        CPPUNIT_ASSERT(!servers.server("a1", now));
    }

    // Guards against an outage of the store that empties the list of servers that live.
    void entriesThatLapsedWithTheStoreAreKept()
    {
        servers.onListLost();
        servers.remove("a1", now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), servers.candidates("engine", now).size());
        servers.onListRestored(now);
        servers.replace(std::vector<BackendInfo> {info("b1", "b")}, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), servers.candidates("engine", now + Ms(1900)).size());
    }

    void entriesStillMissingAfterTheReturnAreGone()
    {
        servers.onListLost();
        servers.remove("a1", now);
        servers.onListRestored(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now + Ms(2100)).size());
        servers.remove("a2", now + Ms(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), servers.candidates("engine", now + Ms(3000)).size());
    }

    void failedServerIsSuspectedForAWhile()
    {
        servers.recordFailure("a1", now);
        CPPUNIT_ASSERT(servers.server("a1", now)->health == BackendHealth::Suspected);
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(700))->health == BackendHealth::Healthy);
        servers.recordFailure("a1", now + Ms(700));
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(1700))->health == BackendHealth::Suspected);
        servers.recordContact("a1", now + Ms(1700));
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(1700))->health == BackendHealth::Healthy);
    }

    // Guards against many requests that one crash ends keeping the server out for long.
    void oneCrashCountsOnce()
    {
        for (int request = 0; request < 10; ++request)
            servers.recordFailure("a1", now);
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(700))->health == BackendHealth::Healthy);
    }

    // Guards against finding out about each server of a dark zone by a request of its own.
    void zoneThatFailsMakesTheRestDoubtful()
    {
        for (const char *id : {"a3", "a4"})
            servers.put(info(id, "a"), now);
        now += Ms(100);
        servers.recordFailure("a1", now);
        CPPUNIT_ASSERT(servers.server("a3", now)->health == BackendHealth::Healthy);
        servers.recordFailure("a2", now);
        servers.recordContact("a4", now + Ms(1));
        CPPUNIT_ASSERT(servers.server("a3", now + Ms(1))->health == BackendHealth::Doubtful);
        CPPUNIT_ASSERT(servers.server("a4", now + Ms(1))->health == BackendHealth::Healthy);
        CPPUNIT_ASSERT(servers.server("b1", now + Ms(1))->health == BackendHealth::Healthy);
        CPPUNIT_ASSERT(servers.server("a3", now + Ms(2000))->health == BackendHealth::Healthy);
    }

    void newStartIsTrusted()
    {
        servers.recordFailure("a1", now);
        BackendInfo restarted = info("a1", "a");
        restarted.startedAtMs = 2;
        servers.put(restarted, now);
        CPPUNIT_ASSERT(servers.server("a1", now)->health == BackendHealth::Healthy);
    }

    // The entry of the start before lapses seconds later. Guards against sending there meanwhile.
    void restartUnderAnotherIdTakesTheAddress()
    {
        BackendInfo first = info("a8", "a");
        first.address = "10.0.0.8:80";
        servers.put(first, now);
        BackendInfo second = first;
        second.id = "a9";
        second.startedAtMs = 2;
        servers.put(second, now);
        bool isListed = false;
        for (const BackendState &server : servers.candidates("engine", now)) {
            CPPUNIT_ASSERT(server.info.id != "a8");
            isListed = isListed || server.info.id == "a9";
        }
        CPPUNIT_ASSERT(isListed);
    }

    // A zone that crashes while the store is away comes back under ids that no list tells. Guards
    // against going on with the other zones only (planoteca-norte trouble-3).
    void restartsAreUsedWhileTheListIsAway()
    {
        servers.onListLost();
        servers.recordReplacement("a1", "a9", now);
        CPPUNIT_ASSERT(servers.server("a9", now).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), servers.candidates("engine", now).size());
        servers.onListRestored(now);
        CPPUNIT_ASSERT(!servers.server("a9", now + Ms(2100)));
        servers.put(info("a9", "a"), now);
        CPPUNIT_ASSERT(servers.server("a9", now + Ms(2100)).has_value());
    }

    void reusedAddressIsLeft()
    {
        servers.recordReplacement("a1", "a9", now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendTableTest);
