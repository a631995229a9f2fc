#include "RolloutSimulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>

using namespace foxtailring;

/// Each test names the load or the failure that it plays. With FOXTAILRING_FIGURES set, each prints
/// what the new version got.
class RolloutSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutSimulationTest);
    CPPUNIT_TEST(goodVersionIsCompletedInTime);
    CPPUNIT_TEST(goodVersionOfFewLongRunsIsCompletedInTime);
    CPPUNIT_TEST(failingVersionIsRolledBack);
    CPPUNIT_TEST(slowVersionIsRolledBack);
    CPPUNIT_TEST(versionThatTurnsBadLaterIsRolledBack);
    CPPUNIT_TEST(versionThatIsBadOnOneRouteIsRolledBack);
    CPPUNIT_TEST(versionThatIsBadUnderLoadIsRolledBack);
    CPPUNIT_TEST(rareRequestsBehindManyGatewaysAreNotMovedUnseen);
    CPPUNIT_TEST(otherTroubleCondemnsNoGoodVersion);
    CPPUNIT_TEST(writersThatDieOrFreezeHoldNothingUp);
    CPPUNIT_TEST(storeThatIsAwayExposesNobody);
    CPPUNIT_TEST(restoredStoreDoesNotBringABadVersionBack);
    CPPUNIT_TEST(gatewayThatStartsLearnsOfTheVerdict);
    CPPUNIT_TEST(replacedOrderRefusesItsVersion);
    CPPUNIT_TEST(rolledBackVersionStaysRefused);
    CPPUNIT_TEST(orderTakenBackReturnsAtOnce);
    CPPUNIT_TEST(deletedOrderIsRolledBack);
    CPPUNIT_TEST(orderThatNobodyRunsStaysServing);
    CPPUNIT_TEST_SUITE_END();

    using Ms = std::chrono::milliseconds;
    using Settings = RolloutSimulation::Settings;
    using Fault = RolloutSimulation::Fault;

    static constexpr Ms warmUp {12'000};
// Sanitizers slow a fleet down sixtyfold. The program without them plays everything.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
    static constexpr std::size_t fleetSizes[] = {12};
    static constexpr std::size_t largestFleet = 12;
    static constexpr std::uint64_t seedCount = 1;
#else
    static constexpr std::size_t fleetSizes[] = {12, 33, 350};
    static constexpr std::size_t largestFleet = 350;
    static constexpr std::uint64_t seedCount = 3;
#endif

    /// A large fleet follows the store less often.
    static Ms watchDelay(std::size_t gateways)
    {
        return Ms(gateways > 100 ? 1500 : 500);
    }

    /// As many requests as gateways of a large fleet have.
    static double load(std::size_t gateways)
    {
        return gateways > 100 ? static_cast<double>(gateways) / 28 : 1;
    }

    /// A service of short calls, a seventh of which fail on one route with every version.
    static Settings calls(std::size_t gateways = 28)
    {
        Settings settings;
        settings.gateways = gateways;
        settings.maxWatchDelay = watchDelay(gateways);
        settings.serversPerZone = 1;
        settings.routes = {{"order", 140 * load(gateways), Ms(20), 0.004, false},
                           {"lookup", 97 * load(gateways), Ms(20), 0.14, true}};
        return settings;
    }

    /// A service of engines, whose runs take seconds, with a rare route.
    static Settings runs(std::size_t gateways = 28)
    {
        Settings settings;
        settings.gateways = gateways;
        settings.maxWatchDelay = watchDelay(gateways);
        settings.serversPerZone = 20;
        settings.routes = {{"urgent", 6.65 * load(gateways), Ms(1200), 0, true},
                           {"usual", 27.7 * load(gateways), Ms(1200), 0, true}};
        return settings;
    }

    static void report(const char *name, const RolloutSimulation &fleet)
    {
        if (!std::getenv("FOXTAILRING_FIGURES"))
            return;
        const auto &figures = fleet.figures();
        const auto sinceOrder = [&](TimePoint at) {
            return std::chrono::duration_cast<Ms>(at - fleet.orderedAt()).count();
        };
        std::cout << name << ": gateways " << fleet.gatewayCount() << ", new "
                  << figures.newRequests << " of " << fleet.exposureBound()
                  << " allowed, bad answers " << figures.badAnswers << ", last new at "
                  << sinceOrder(figures.lastNewAt) << " ms, 50th bad at "
                  << (figures.enoughBadAt ? std::to_string(sinceOrder(*figures.enoughBadAt))
                                          : "none")
                  << ", cut " << figures.cutRequests << ", writes " << figures.storeWrites
                  << ", state " << (fleet.storedStatus() ? fleet.storedStatus()->reason : "none")
                  << '\n';
    }

    static void requireRolledBack(const char *name, const RolloutSimulation &fleet)
    {
        report(name, fleet);
        CPPUNIT_ASSERT_MESSAGE(name, fleet.isIn(RolloutState::RolledBack, "v2"));
        CPPUNIT_ASSERT_MESSAGE(
            name, static_cast<double>(fleet.figures().newRequests) <= fleet.exposureBound());
        CPPUNIT_ASSERT_MESSAGE(name, fleet.endedInTime());
    }

    static void playBad(const char *name, Settings settings, const Fault &fault)
    {
        const std::uint64_t seeds = settings.gateways > 100 ? 1 : seedCount;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            settings.fault = fault;
            settings.seed = seed;
            RolloutSimulation fleet(settings);
            fleet.run(warmUp);
            fleet.order("v2");
            fleet.run(settings.ramp);
            requireRolledBack(name, fleet);
        }
    }

    static void playGood(const char *name, Settings settings,
                         const std::function<void(RolloutSimulation &)> &onTick = {},
                         std::uint64_t seeds = seedCount)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            settings.seed = seed;
            RolloutSimulation fleet(settings);
            fleet.run(warmUp);
            fleet.order("v2");
            fleet.run(settings.ramp, onTick);
            report(name, fleet);
            CPPUNIT_ASSERT_MESSAGE(name, fleet.isIn(RolloutState::Completed, "v2"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t(0), fleet.figures().unserved);
        }
    }

public:
    // Guards against a roll-out that waits for evidence that a fleet of this size never gathers.
    void goodVersionIsCompletedInTime()
    {
        for (const std::size_t gateways : fleetSizes)
            playGood("good calls", calls(gateways), {}, gateways > 100 ? 1 : 3);
        Settings slowRamp = calls();
        slowRamp.ramp = Ms(40'000);
        playGood("good calls, 40 s", slowRamp, {}, 1);
        Settings rare = calls();
        rare.routes = {{"rare", 1, Ms(20), 0, true}};
        playGood("good rare calls", rare);
    }

    // Guards against slow answers by chance that look like a slow version.
    void goodVersionOfFewLongRunsIsCompletedInTime()
    {
        for (const std::size_t gateways : fleetSizes)
            playGood("good runs", runs(gateways), {}, gateways > 100 ? 1 : 5);
    }

    // Guards against a verdict that each gateway has to reach alone.
    void failingVersionIsRolledBack()
    {
        for (const std::size_t gateways : fleetSizes) {
            playBad("failing calls", calls(gateways), {0.3, false, "", Ms(0), 0});
            playBad("failing runs", runs(gateways), {0.3, false, "", Ms(0), 0});
        }
        playBad("all calls fail", calls(), {1, false, "", Ms(0), 0});
    }

    // Guards against slow answers that count only once they have arrived.
    void slowVersionIsRolledBack()
    {
        for (const std::size_t gateways : fleetSizes) {
            playBad("slow calls", calls(gateways), {0.4, true, "", Ms(0), 0});
            playBad("slow runs", runs(gateways), {0.4, true, "", Ms(0), 0});
        }
    }

    // Guards against good answers of the first seconds that outweigh the bad ones after them.
    void versionThatTurnsBadLaterIsRolledBack()
    {
        playBad("calls fail after 2 s", calls(), {0.4, false, "", Ms(2000), 0});
        playBad("calls fail after 5 s", calls(), {0.4, false, "", Ms(5000), 0});
        playBad("runs fail after 3 s", runs(), {0.4, false, "", Ms(3000), 0});
        playBad("calls slow after 4 s", calls(), {0.4, true, "", Ms(4000), 0});
        Settings longRamp = calls();
        longRamp.ramp = Ms(40'000);
        playBad("calls fail after 20 s", longRamp, {0.3, false, "", Ms(20'000), 0});
    }

    // Guards against a bad route that hides among the good answers of the others.
    void versionThatIsBadOnOneRouteIsRolledBack()
    {
        playBad("order fails", calls(), {0.4, false, "order", Ms(0), 0});
        playBad("lookup fails", calls(), {0.5, false, "lookup", Ms(0), 0});
        playBad("lookup slow", calls(), {0.5, true, "lookup", Ms(0), 0});
        playBad("usual runs fail", runs(), {0.4, false, "usual", Ms(0), 0});
        playBad("urgent runs fail", runs(), {0.8, false, "urgent", Ms(0), 0});
    }

    // Guards against a trial whose few requests are spread so thinly that no server has load.
    void versionThatIsBadUnderLoadIsRolledBack()
    {
        Settings loaded = calls();
        loaded.serversPerZone = 4;
        loaded.routes = {{"order", 600, Ms(60), 0.004, false}, {"lookup", 400, Ms(60), 0.01, true}};
        playBad("calls fail under load", loaded, {0.5, false, "", Ms(0), 2});
    }

    // Guards against a move of all requests on the evidence of a few answers.
    void rareRequestsBehindManyGatewaysAreNotMovedUnseen()
    {
        Settings settings = runs(28);
        settings.gateways = largestFleet;
        settings.maxWatchDelay = watchDelay(largestFleet);
        settings.fault = Fault {0.4, false, "", Ms(0), 0};
        RolloutSimulation fleet(settings);
        fleet.run(warmUp);
        fleet.order("v2");
        fleet.run(settings.ramp);
        report("rare failing runs", fleet);
        CPPUNIT_ASSERT(!fleet.isIn(RolloutState::Completed, "v2"));
        CPPUNIT_ASSERT(static_cast<double>(fleet.figures().newRequests) <= fleet.exposureBound());
    }

    // Guards against a verdict on the version for what hits both versions, one server or one zone.
    void otherTroubleCondemnsNoGoodVersion()
    {
        const auto at = [](const RolloutSimulation &fleet, int ms) {
            return fleet.sinceOrder() == Ms(ms);
        };
        for (const Settings &settings : {calls(), runs()}) {
            playGood("grey servers", settings, [&](RolloutSimulation &fleet) {
                if (at(fleet, 1000)) {
                    fleet.addGrey(true, 0.45);
                    fleet.addGrey(false, 0.45);
                }
            });
            playGood("lost zone", settings, [&](RolloutSimulation &fleet) {
                if (at(fleet, 2000))
                    fleet.setZoneDark("c", true);
                if (at(fleet, 4000))
                    fleet.setZoneDark("c", false);
            });
            playGood("server that flaps", settings, [&](RolloutSimulation &fleet) {
                if (fleet.sinceOrder() < Ms(8000) && at(fleet, 2000))
                    fleet.addGrey(true, 1);
            });
            playGood("overload", settings, [&](RolloutSimulation &fleet) {
                if (at(fleet, 2000))
                    fleet.setSlowness(3);
                if (at(fleet, 5000))
                    fleet.setSlowness(1);
            });
        }
        Settings slowStore = calls();
        slowStore.maxWatchDelay = Ms(2000);
        playGood("slow store", slowStore);
    }

    // Guards against a decision that waits for one process.
    void writersThatDieOrFreezeHoldNothingUp()
    {
        const auto killFirst = [](RolloutSimulation &fleet) {
            const auto ms = std::chrono::duration_cast<Ms>(fleet.sinceOrder()).count();
            if (ms == 3900 || ms == 6900 || ms == 9000)
                fleet.kill(fleet.firstWriter());
        };
        const auto freezeFirst = [](RolloutSimulation &fleet) {
            const auto ms = std::chrono::duration_cast<Ms>(fleet.sinceOrder()).count();
            if (ms == 3900 || ms == 6900)
                fleet.freeze(fleet.firstWriter(), Ms(2500));
        };
        playGood("writers die", calls(), killFirst);
        playGood("writer freezes", calls(), freezeFirst);
        for (const auto &disturbance :
             {std::function<void(RolloutSimulation &)>([](RolloutSimulation &fleet) {
                  if (fleet.sinceOrder() == Ms(1500) || fleet.sinceOrder() == Ms(2500))
                      fleet.kill(fleet.firstWriter());
              }),
              std::function<void(RolloutSimulation &)>([](RolloutSimulation &fleet) {
                  if (fleet.sinceOrder() == Ms(1500))
                      fleet.freeze(fleet.firstWriter(), Ms(4000));
              })}) {
            Settings settings = calls();
            settings.fault = Fault {0.4, false, "", Ms(0), 0};
            RolloutSimulation fleet(settings);
            fleet.run(warmUp);
            fleet.order("v2");
            fleet.run(settings.ramp, disturbance);
            requireRolledBack("bad, writers disturbed", fleet);
        }
    }

    // Guards against gateways that go on with a bad version because they hear no verdict.
    void storeThatIsAwayExposesNobody()
    {
        Settings settings = calls();
        settings.fault = Fault {0.4, false, "", Ms(2000), 0};
        RolloutSimulation fleet(settings);
        fleet.run(warmUp);
        fleet.order("v2");
        fleet.run(Ms(2000));
        fleet.setStoreAway(true);
        fleet.run(Ms(4000));
        CPPUNIT_ASSERT(fleet.sinceOrder()
                       > fleet.figures().lastNewAt - fleet.orderedAt() + Ms(500));
        fleet.setStoreAway(false);
        fleet.run(Ms(6000));
        requireRolledBack("store away", fleet);
    }

    // Guards against a roll-out that begins anew, or is forgotten, because the store lost its keys.
    void restoredStoreDoesNotBringABadVersionBack()
    {
        Settings settings = calls();
        settings.fault = Fault {0.4, false, "", Ms(0), 0};
        RolloutSimulation bad(settings);
        bad.run(warmUp);
        bad.order("v2");
        while (!bad.isIn(RolloutState::RolledBack, "v2") && bad.sinceOrder() < settings.ramp)
            bad.run(Ms(100));
        CPPUNIT_ASSERT(bad.isIn(RolloutState::RolledBack, "v2"));
        bad.restoreStore(Ms(1500));
        bad.run(Ms(7000));
        requireRolledBack("restored", bad);
        settings.fault.reset();
        RolloutSimulation good(settings);
        good.run(warmUp);
        good.order("v2");
        good.run(Ms(2000));
        good.restoreStore(Ms(1500));
        good.run(Ms(10'000));
        report("good, restored", good);
        CPPUNIT_ASSERT(good.isIn(RolloutState::Completed, "v2"));
    }

    // Guards against a gateway that gives a condemned version its first requests.
    void gatewayThatStartsLearnsOfTheVerdict()
    {
        Settings settings = calls();
        settings.fault = Fault {0.4, false, "", Ms(0), 0};
        RolloutSimulation fleet(settings);
        fleet.run(warmUp);
        fleet.order("v2");
        while (!fleet.isIn(RolloutState::RolledBack, "v2") && fleet.sinceOrder() < settings.ramp)
            fleet.run(Ms(10));
        const TimePoint last = fleet.figures().lastNewAt;
        for (std::size_t i = 0; i < fleet.gatewayCount(); ++i) {
            fleet.kill(i);
            fleet.start(i);
        }
        fleet.run(Ms(6000));
        requireRolledBack("all start again", fleet);
        CPPUNIT_ASSERT(last == fleet.figures().lastNewAt);
    }

    // Guards against an unproven version that counts as an old one because another order came.
    void replacedOrderRefusesItsVersion()
    {
        const Settings settings = calls();
        RolloutSimulation fleet(settings);
        fleet.run(warmUp);
        fleet.order("v2");
        fleet.run(Ms(3000));
        fleet.order("v3");
        fleet.run(Ms(2000));
        CPPUNIT_ASSERT(fleet.storedStatus()->refused == std::vector<std::string> {"v2"});
        fleet.run(settings.ramp - Ms(2000));
        report("second order", fleet);
        CPPUNIT_ASSERT(fleet.isIn(RolloutState::Completed, "v3"));
    }

    // Guards against a bad version that serves again, as one of the old ones, under the next order.
    void rolledBackVersionStaysRefused()
    {
        Settings settings = calls();
        settings.fault = Fault {0.4, false, "", Ms(0), 0};
        RolloutSimulation fleet(settings);
        fleet.run(warmUp);
        fleet.order("v2");
        fleet.run(settings.ramp);
        CPPUNIT_ASSERT(fleet.isIn(RolloutState::RolledBack, "v2"));
        fleet.deleteOrder();
        fleet.run(Ms(3000));
        const std::size_t before = fleet.figures().newRequests;
        fleet.order("v3");
        fleet.run(settings.ramp);
        report("after a rolled back one", fleet);
        CPPUNIT_ASSERT(fleet.storedStatus()->refused.front() == "v2");
        fleet.order("v2");
        fleet.run(settings.ramp);
        requireRolledBack("ordered again", fleet);
        CPPUNIT_ASSERT(before > 0);
    }

    // Guards against a return to the old version that is held up, or limited, like a trial.
    void orderTakenBackReturnsAtOnce()
    {
        const Settings settings = calls();
        RolloutSimulation fleet(settings);
        fleet.run(warmUp);
        fleet.order("v2");
        fleet.run(Ms(3000));
        fleet.order("v1");
        fleet.run(settings.ramp);
        report("taken back", fleet);
        CPPUNIT_ASSERT(fleet.isIn(RolloutState::Completed, "v1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.figures().unserved);
    }

    // Guards against servers of a version without an order that nobody tells to leave.
    void deletedOrderIsRolledBack()
    {
        RolloutSimulation fleet(calls());
        fleet.run(warmUp);
        fleet.order("v2");
        fleet.run(Ms(3000));
        fleet.deleteOrder();
        fleet.run(Ms(5000));
        report("deleted", fleet);
        CPPUNIT_ASSERT(fleet.isIn(RolloutState::RolledBack, "v2"));
        CPPUNIT_ASSERT(fleet.figures().lastNewAt < fleet.orderedAt() + Ms(5000));
    }

    // Guards against the end of the only servers that there are.
    void orderThatNobodyRunsStaysServing()
    {
        RolloutSimulation fleet(calls());
        fleet.run(warmUp);
        fleet.order("v2");
        fleet.removeServers("v2");
        fleet.run(Ms(20'000));
        report("nobody runs it", fleet);
        CPPUNIT_ASSERT(fleet.isIn(RolloutState::Serving, "v2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.figures().unserved);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutSimulationTest);
