#include "foxtailring/decisions/placement/BackendPlacer.h"

#include "sessions/ForwardFixture.h"

#include <set>

using namespace foxtailring;

class BackendPlacerTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(BackendPlacerTest);
    CPPUNIT_TEST(callsStayInTheirZone);
    CPPUNIT_TEST(loadedZoneIsLeft);
    CPPUNIT_TEST(staleLoadIsIgnored);
    CPPUNIT_TEST(runsAreSpread);
    CPPUNIT_TEST(failingServerIsAvoided);
    CPPUNIT_TEST(suspectedServersAreChosenLast);
    CPPUNIT_TEST(noCopyInTheZoneOfItsRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    void callsStayInTheirZone()
    {
        for (int round = 0; round < 50; ++round)
            CPPUNIT_ASSERT_EQUAL(std::string("a"), call()->info.availabilityZone);
    }

    void loadedZoneIsLeft()
    {
        servers.updateLoad("a1", {4, 3, 4}, now);
        servers.updateLoad("a2", {4, 3, 4}, now);
        CPPUNIT_ASSERT(call()->info.availabilityZone != "a");
    }

    void staleLoadIsIgnored()
    {
        servers.updateLoad("a1", {4, 3, 4}, now);
        servers.updateLoad("a2", {4, 3, 4}, now);
        now += Ms(1100);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), call()->info.availabilityZone);
    }

    // Runs at one server slow each other down. Guards against a second run at a server while others
    // are idle.
    void runsAreSpread()
    {
        std::set<std::string> used;
        for (int run = 0; run < 6; ++run) {
            const auto server = placer.chooseForRun(request({}), now, random);
            servers.startWork(server->info.id);
            used.insert(server->info.id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), used.size());
    }

    // A server that answers with errors is healthy and, since errors are quick, the least loaded.
    // Guards against sending it most of the calls.
    void failingServerIsAvoided()
    {
        for (int i = 0; i < 20; ++i)
            servers.recordAnswer("a1", i % 2 == 0, now);
        for (int round = 0; round < 20; ++round)
            CPPUNIT_ASSERT_EQUAL(std::string("a2"), call()->info.id);
    }

    void suspectedServersAreChosenLast()
    {
        for (const char *id : {"a1", "a2", "b1", "b2", "c1"})
            servers.recordFailure(id, now);
        CPPUNIT_ASSERT_EQUAL(std::string("c2"), call()->info.id);
        servers.recordFailure("c2", now);
        CPPUNIT_ASSERT(call().has_value());
    }

    void noCopyInTheZoneOfItsRun()
    {
        for (const char *id : {"b1", "b2", "c1", "c2"})
            servers.recordFailure(id, now);
        PlacementRequest one = request({});
        one.avoidZone = "a";
        CPPUNIT_ASSERT(!placer.chooseForCopy(one, now, random));
    }

private:
    static PlacementRequest request(std::span<const std::string> exclude)
    {
        PlacementRequest one;
        one.service = "engine";
        one.exclude = exclude;
        return one;
    }

    std::optional<BackendState> call() { return placer.chooseForCall(request({}), now, random); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendPlacerTest);
