#include "foxtailring/decisions/BackendTable.h"

#include "ForwardFixture.h"

using namespace foxtailring;

class BackendTableTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(BackendTableTest);
    CPPUNIT_TEST(drainingServerIsNoCandidate);
    CPPUNIT_TEST(removedServerIsNoCandidate);
    CPPUNIT_TEST(serversAreKeptWhileTheListIsUnavailable);
    CPPUNIT_TEST(serversStillMissingAfterAnOutageAreRemoved);
    CPPUNIT_TEST(failedServerIsSuspectedTemporarily);
    CPPUNIT_TEST(oneCrashCountsOnce);
    CPPUNIT_TEST(zoneFailureMakesOtherServersDoubtful);
    CPPUNIT_TEST(restartedServerIsHealthy);
    CPPUNIT_TEST(serverWithReusedAddressIsNoCandidate);
    CPPUNIT_TEST(restartWithAnotherIdReplacesTheOldEntry);
    CPPUNIT_TEST(restartsAreUsedWhileTheListIsUnavailable);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    void drainingServerIsNoCandidate()
    {
        BackendInfo leaving = info("a1", "a");
        leaving.isDraining = true;
        servers.put(leaving, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now).size());
    }

    void removedServerIsNoCandidate()
    {
        servers.remove("a1", now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now).size());
        CPPUNIT_ASSERT(!servers.server("a1", now));
    }

    // Entries expire while the store is down. Guards against losing all live servers by that.
    void serversAreKeptWhileTheListIsUnavailable()
    {
        servers.onListLost();
        servers.remove("a1", now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), servers.candidates("engine", now).size());
        servers.onListRestored(now);
        servers.replace(std::vector<BackendInfo> {info("b1", "b")}, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), servers.candidates("engine", now + Ms(1900)).size());
    }

    void serversStillMissingAfterAnOutageAreRemoved()
    {
        servers.onListLost();
        servers.remove("a1", now);
        servers.onListRestored(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now + Ms(2100)).size());
        servers.remove("a2", now + Ms(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), servers.candidates("engine", now + Ms(3000)).size());
    }

    void failedServerIsSuspectedTemporarily()
    {
        servers.recordFailure("a1", now);
        CPPUNIT_ASSERT(servers.server("a1", now)->health == BackendHealth::Suspected);
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(700))->health == BackendHealth::Healthy);
        servers.recordFailure("a1", now + Ms(700));
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(1700))->health == BackendHealth::Suspected);
        servers.recordContact("a1", now + Ms(1700));
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(1700))->health == BackendHealth::Healthy);
    }

    // Guards against a long suspicion because one crash fails many requests.
    void oneCrashCountsOnce()
    {
        for (int request = 0; request < 10; ++request)
            servers.recordFailure("a1", now);
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(700))->health == BackendHealth::Healthy);
    }

    // Guards against spending one request on each server of a failed zone.
    void zoneFailureMakesOtherServersDoubtful()
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

    void restartedServerIsHealthy()
    {
        servers.recordFailure("a1", now);
        BackendInfo restarted = info("a1", "a");
        restarted.startedAtMs = 2;
        servers.put(restarted, now);
        CPPUNIT_ASSERT(servers.server("a1", now)->health == BackendHealth::Healthy);
    }

    // After a restart, the old entry expires seconds later. Guards against using it until then.
    void restartWithAnotherIdReplacesTheOldEntry()
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

    // A zone that crashes while the store is down restarts with ids that are not in the list.
    // Guards against using only the other zones until the store is back.
    void restartsAreUsedWhileTheListIsUnavailable()
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

    void serverWithReusedAddressIsNoCandidate()
    {
        servers.recordReplacement("a1", "a9", now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendTableTest);
