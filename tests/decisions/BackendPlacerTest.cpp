#include "foxtailring/decisions/BackendPlacer.h"

#include "ForwardFixture.h"

#include <set>

using namespace foxtailring;

class BackendPlacerTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(BackendPlacerTest);
    CPPUNIT_TEST(callsStayNear);
    CPPUNIT_TEST(loadedServersAreLeft);
    CPPUNIT_TEST(staleLoadSaysNothing);
    CPPUNIT_TEST(runsAreSpread);
    CPPUNIT_TEST(failingServerIsAvoided);
    CPPUNIT_TEST(suspectedServersAreTheLastResort);
    CPPUNIT_TEST(noCopyBesideItsRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    void callsStayNear()
    {
        for (int round = 0; round < 50; ++round)
            CPPUNIT_ASSERT_EQUAL(std::string("a"), call()->info.availabilityZone);
    }

    void loadedServersAreLeft()
    {
        servers.updateLoad("a1", {4, 3, 4}, now);
        servers.updateLoad("a2", {4, 3, 4}, now);
        CPPUNIT_ASSERT(call()->info.availabilityZone != "a");
    }

    void staleLoadSaysNothing()
    {
        servers.updateLoad("a1", {4, 3, 4}, now);
        servers.updateLoad("a2", {4, 3, 4}, now);
        now += Ms(1100);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), call()->info.availabilityZone);
    }

    // Each run slows down those beside it. Guards against two runs on one server beside idle ones.
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

    // Its health is good, but it fails requests. Guards against sending it most of the calls, since
    // failures are quick and leave it the least loaded.
    void failingServerIsAvoided()
    {
        for (int i = 0; i < 20; ++i)
            servers.recordAnswer("a1", i % 2 == 0, now);
        for (int round = 0; round < 20; ++round)
            CPPUNIT_ASSERT_EQUAL(std::string("a2"), call()->info.id);
    }

    void suspectedServersAreTheLastResort()
    {
        for (const char *id : {"a1", "a2", "b1", "b2", "c1"})
            servers.recordFailure(id, now);
        CPPUNIT_ASSERT_EQUAL(std::string("c2"), call()->info.id);
        servers.recordFailure("c2", now);
        CPPUNIT_ASSERT(call().has_value());
    }

    void noCopyBesideItsRun()
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
