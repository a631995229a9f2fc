#include "foxtailring/decisions/limits/IdleConnectionLimit.h"

#include "IdleConnectionFleet.h"
#include "IdleConnectionSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>
#include <string>

using namespace foxtailring;

namespace {

using Simulation = IdleConnectionSimulation;
using Ms = std::chrono::milliseconds;

// Sanitizers slow the simulation down sixtyfold. The program without them plays everything.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
constexpr std::array<std::size_t, 2> fleets {4, 60};
constexpr std::array<std::size_t, 1> smallFleets {33};
constexpr std::array<std::size_t, 2> faultyFleets {4, 12};
constexpr std::array<std::uint64_t, 1> seeds {1};
#else
constexpr std::array<std::size_t, 5> fleets {4, 33, 60, 120, 350};
constexpr std::array<std::size_t, 3> smallFleets {4, 30, 33};
constexpr std::array<std::size_t, 7> faultyFleets {1, 4, 12, 33, 60, 120, 350};
constexpr std::array<std::uint64_t, 2> seeds {1, 2};
#endif

// As before decision 0015: 64 connections to each server at most, for 20 s.
Ms keepWithoutLimit(std::size_t, std::size_t, std::size_t idleCount, TimePoint)
{
    return idleCount < 64 ? Ms(20'000) : Ms(0);
}

} // namespace

class IdleConnectionSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdleConnectionSimulationTest);
    CPPUNIT_TEST(largeFleetWithoutTheLimitIsReset);
    CPPUNIT_TEST(fleetsOfEachSizeLeaveRoomForWork);
    CPPUNIT_TEST(smallFleetReusesAboutAsManyConnections);
    CPPUNIT_TEST(busySmallFleetReusesAboutAsManyConnections);
    CPPUNIT_TEST(busyGatewaysThatChangeLeaveRoomForWork);
    CPPUNIT_TEST(fleetThatRestartsLeavesRoomForWork);
    CPPUNIT_TEST(fleetThatDoublesLeavesRoomForWork);
    CPPUNIT_TEST(lostWritesLeaveRoomForWork);
    CPPUNIT_TEST(unreadableDemandsLeaveRoomForWork);
    CPPUNIT_TEST(oldGatewaysLeaveRoomForWork);
    CPPUNIT_TEST(fleetWithoutStoreLeavesRoomForWork);
    CPPUNIT_TEST(gatewaysWithoutStoreLeaveRoomForWork);
    CPPUNIT_TEST(playsShowTooManyShares);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a simulation that cannot show the fault.
    void largeFleetWithoutTheLimitIsReset()
    {
        for (const double skew : {0.0, 0.5})
            CPPUNIT_ASSERT(playWithoutLimit({350, 3, 1000, skew, 1}).resets > 100);
    }

    void fleetsOfEachSizeLeaveRoomForWork()
    {
        for (const std::size_t gateways : fleets) {
            for (const double skew : {0.0, 0.5, 0.9}) {
                for (const std::uint64_t seed : seeds) {
                    assertNoReset({gateways, 3, 1000, skew, seed});
                    assertNoReset({gateways, 20, 400, skew, seed});
                }
            }
        }
    }

    // Guards against new connections that a fleet below the bound pays for nothing.
    void smallFleetReusesAboutAsManyConnections()
    {
        for (const std::size_t gateways : smallFleets) {
            for (const double skew : {0.0, 0.5, 0.9})
                assertReuse({gateways, 90, 60, skew, 1});
            assertReuse({gateways, 90, 2000, 0, 1});
        }
    }

    // Guards against the same where a few gateways need several connections to each server.
    void busySmallFleetReusesAboutAsManyConnections()
    {
        for (const std::size_t gateways : smallFleets) {
            for (const double skew : {0.0, 0.5, 0.9}) {
                assertReuse({gateways, 90, 500, skew, 1});
                assertReuse({gateways, 90, 2000, skew, 1});
            }
        }
    }

    // Guards against gateways that still keep what they had by a demand that has moved on.
    void busyGatewaysThatChangeLeaveRoomForWork()
    {
        play({.changeAt = changeAt, .shifts = true}, {}, fleetLimit);
    }

    void fleetThatRestartsLeavesRoomForWork()
    {
        play({.changeAt = changeAt, .restarts = true}, {}, fleetLimit);
    }

    // Guards against gateways that start and keep connections before the others count them.
    void fleetThatDoublesLeavesRoomForWork()
    {
        for (const std::size_t gateways : faultyFleets)
            playSkews({.gateways = gateways, .changeAt = changeAt, .started = (gateways + 1) / 2},
                      {}, 1.5 * fleetLimit);
    }

    void lostWritesLeaveRoomForWork() { play({}, {.lostWrites = 0.5}, fleetLimit); }

    void unreadableDemandsLeaveRoomForWork() { play({}, {.unreadable = 0.3}, fleetLimit); }

    // Guards against new gateways that take what old ones keep without a demand.
    void oldGatewaysLeaveRoomForWork()
    {
        for (const std::size_t gateways : faultyFleets)
            playSkews({.gateways = gateways}, {.oldGateways = gateways / 2}, fleetLimit);
    }

    // Guards against demands of the past that count while nobody hears of newer ones.
    void fleetWithoutStoreLeavesRoomForWork()
    {
        play({.changeAt = changeAt, .shifts = true},
             {.storeDownFrom = Ms(20'000), .storeDownUntil = Ms(45'000)}, fleetLimit);
    }

    void gatewaysWithoutStoreLeaveRoomForWork()
    {
        for (const std::size_t gateways : faultyFleets) {
            for (const std::size_t cutOff : {gateways / 10 + 1, (gateways + 1) / 2})
                playSkews(
                    {.gateways = gateways, .changeAt = changeAt, .shifts = true},
                    {.storeDownFrom = Ms(20'000), .storeDownUntil = Ms(100'000), .cutOff = cutOff},
                    fleetLimit);
        }
    }

    // Guards against plays that could not show a gateway that takes too much.
    void playsShowTooManyShares()
    {
        IdleConnectionFleet fleet(4, 1, {.oldGateways = 8});
        Simulation simulation({.gateways = 8, .changeAt = changeAt, .started = 4}, keepBy(fleet));
        simulation.setChangeHook([&fleet](TimePoint now) { fleet.grow(4, now); });
        simulation.run(duration);
        CPPUNIT_ASSERT(fleet.counts().mostShares > 1.5 * fleetLimit);
    }

private:
    static constexpr Ms duration {60'000};
    static constexpr double maxReuseLoss = 0.03;
    static constexpr Ms changeAt {30'000};
    static constexpr double fleetLimit = 48;
    static constexpr double tolerance = 1e-6;
    /// The store takes 400. Gateways that list themselves anew need one write in any case.
    static constexpr std::size_t maxWritesPerSecond = 40;
    static constexpr std::size_t maxListingWritesPerSecond = 240;

    static double reuse(const Simulation::Counts &counts)
    {
        return static_cast<double>(counts.reused) / static_cast<double>(counts.calls);
    }

    static void assertNoReset(const Simulation::Settings &settings)
    {
        const Simulation::Counts counts = playWithLimit(settings);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), counts.resets);
    }

    static void assertReuse(const Simulation::Settings &settings)
    {
        const Simulation::Counts before = playWithoutLimit(settings);
        CPPUNIT_ASSERT(reuse(playWithLimit(settings)) >= reuse(before) - maxReuseLoss);
    }

    static Simulation::Counts playWithoutLimit(const Simulation::Settings &settings)
    {
        return print(settings, "without", Simulation(settings, keepWithoutLimit).run(duration));
    }

    static Simulation::Counts playWithLimit(const Simulation::Settings &settings)
    {
        IdleConnectionFleet fleet(settings.gateways, settings.seed, {});
        return print(settings, "with", Simulation(settings, keepBy(fleet)).run(duration));
    }

    static Simulation::KeepHook keepBy(IdleConnectionFleet &fleet)
    {
        return [&fleet](std::size_t gateway, std::size_t server, std::size_t idleCount,
                        TimePoint now) { return fleet.keepFor(gateway, server, idleCount, now); };
    }

    static void play(Simulation::Settings settings, const IdleConnectionFleet::Faults &faults,
                     double maxShares)
    {
        for (const std::size_t gateways : faultyFleets) {
            settings.gateways = gateways;
            playSkews(settings, faults, maxShares);
        }
    }

    static void playSkews(Simulation::Settings settings, const IdleConnectionFleet::Faults &faults,
                          double maxShares)
    {
        for (const double skew : {0.5, 0.9}) {
            settings.skew = skew;
            playOne(settings, faults, maxShares);
        }
    }

    static void playOne(const Simulation::Settings &settings,
                        const IdleConnectionFleet::Faults &faults, double maxShares)
    {
        const std::size_t started = settings.started == 0 ? settings.gateways : settings.started;
        IdleConnectionFleet fleet(started, settings.seed, faults);
        Simulation simulation(settings, keepBy(fleet));
        simulation.setChangeHook([&](TimePoint now) {
            if (settings.restarts)
                fleet.restart(now);
            fleet.grow(settings.gateways - started, now);
        });
        const Simulation::Counts counts = print(settings, "with", simulation.run(duration));
        std::cout << "  shares " << fleet.counts().mostShares << ", most writes/s "
                  << fleet.counts().mostWrites << '\n';
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), counts.resets);
        CPPUNIT_ASSERT(fleet.counts().mostShares <= maxShares + tolerance);
        const bool listsAnew = settings.started > 0 || faults.storeDownUntil > Ms(0);
        CPPUNIT_ASSERT(fleet.counts().mostWrites
                       <= (listsAnew ? maxListingWritesPerSecond : maxWritesPerSecond));
    }

    static Simulation::Counts print(const Simulation::Settings &settings, const char *rule,
                                    const Simulation::Counts &counts)
    {
        const double seconds = std::chrono::duration<double>(duration).count();
        std::cout << settings.gateways << " gateways, " << settings.servers << " servers, "
                  << settings.callsPerSecond << " calls/s, skew " << settings.skew << ", seed "
                  << settings.seed << ", " << rule << " limit: at most " << counts.mostOpen
                  << " open, " << counts.resets << " resets, "
                  << static_cast<double>(counts.opened) / seconds << " opened/s, reused "
                  << reuse(counts) << '\n';
        return counts;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleConnectionSimulationTest);
