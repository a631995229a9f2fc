#include "RateLimitSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

namespace {

// Sanitizers slow a fleet down sixtyfold, and its time grows with the square of its size. The
// program without them plays everything.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
constexpr std::size_t largestFleet = 12;
constexpr std::uint64_t disturbedSeeds = 3;
#else
constexpr std::size_t largestFleet = 350;
constexpr std::uint64_t disturbedSeeds = 20;
#endif

} // namespace

// Whole fleets on a simulated clock. The bound is the users': 1.5 times the limit over 4 s, plus 5.
class RateLimitSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateLimitSimulationTest);
    CPPUNIT_TEST(fleetsOfEachSizeKeepTheLimit);
    CPPUNIT_TEST(fewBusyProcessesUseTheWholeLimit);
    CPPUNIT_TEST(evenCallersGetMostOfTheLimit);
    CPPUNIT_TEST(limitBelowOneRequestPerProcessIsKept);
    CPPUNIT_TEST(allServersOfAServiceMayBeLimited);
    CPPUNIT_TEST(limitThatChangesWithEachAnswerIsKept);
    CPPUNIT_TEST(trafficComesBackAfterTheLimit);
    CPPUNIT_TEST(restartsFreezesAndCutsKeepTheLimit);
    CPPUNIT_TEST(processesThatJoinLateKeepTheLimit);
    CPPUNIT_TEST(outageOfTheStoreBeforeTheLimitKeepsIt);
    CPPUNIT_TEST(storeGetsFewReportsFromALargeFleet);
    CPPUNIT_TEST_SUITE_END();

public:
    void fleetsOfEachSizeKeepTheLimit()
    {
        for (const std::size_t processes : {1, 2, 4, 12, 33, 120}) {
            if (processes > largestFleet)
                continue;
            for (const double uneven : {0.0, 0.5, 1.0}) {
                for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                    RateLimitSimulation::Settings settings {processes, 2, 67, uneven, seed};
                    play(settings, 8.4, 20);
                }
            }
        }
        play({largestFleet, 2, 67, 0.5, 1}, 8.4, 20);
    }

    // Guards against equal shares, of which idle processes leave most unused.
    void fewBusyProcessesUseTheWholeLimit()
    {
        for (const std::size_t processes : {std::size_t {4}, std::size_t {33}, largestFleet}) {
            const auto fleet = play({processes, 1, 67, 0.9, 1}, 8.4, 30);
            CPPUNIT_ASSERT(rate(*fleet, 14, 30) >= 0.7 * 8.4);
        }
    }

    void evenCallersGetMostOfTheLimit()
    {
        for (const std::size_t processes : {4, 12, 33}) {
            const auto fleet = play({processes, 1, 67, 0, 1}, 8.4, 30);
            CPPUNIT_ASSERT(rate(*fleet, 14, 30) >= 0.7 * 8.4);
        }
    }

    // Guards against a request saved up at each process: 33 of them are over the bound by
    // themselves.
    void limitBelowOneRequestPerProcessIsKept()
    {
        for (const double limit : {0.0, 0.1, 0.5, 1.0, 2.0}) {
            play({33, 1, 67, 0.3, 2}, limit, 40);
        }
        play({largestFleet, 1, 67, 0.3, 2}, 0.5, 30);
    }

    void allServersOfAServiceMayBeLimited()
    {
        const auto fleet = play({33, 3, 67, 0.5, 4}, 8.4, 30);
        for (std::size_t server = 0; server < 3; ++server) {
            const double served = fleet->perSecond(server, fleet->at(14), fleet->at(30));
            CPPUNIT_ASSERT(served >= 0.6 * 8.4);
        }
    }

    void limitThatChangesWithEachAnswerIsKept()
    {
        RateLimitSimulation fleet({33, 1, 67, 0.5, 5});
        RandomSource random(9);
        fleet.limit = [&random](std::size_t, TimePoint now) -> std::optional<double> {
            if (now < RateLimitSimulation::at(3))
                return std::nullopt;
            return 7 + 3 * random.generateDouble();
        };
        fleet.runUntil(fleet.at(25));
        assertKept(fleet, 0, 7, 25);
    }

    // Guards against a limit that lasts at processes which send nothing and so are never answered.
    void trafficComesBackAfterTheLimit()
    {
        for (const std::size_t processes : {std::size_t {4}, std::size_t {33}, largestFleet}) {
            const auto fleet = play({processes, 2, 67, 0.5, 6}, 2, 20);
            fleet->runUntil(fleet->at(30));
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet->limitedProcesses());
            fleet->runUntil(fleet->at(34));
            CPPUNIT_ASSERT(fleet->perSecond(0, fleet->at(30), fleet->at(34)) > 20);
        }
    }

    void restartsFreezesAndCutsKeepTheLimit()
    {
        for (std::uint64_t seed = 1; seed <= disturbedSeeds; ++seed) {
            RateLimitSimulation fleet({33, 2, 67, 0.5, seed});
            RandomSource random(seed);
            fleet.limit = limitFrom(3, 1000, 8.4);
            for (int second = 1; second < 40; ++second) {
                fleet.runUntil(fleet.at(second));
                disturb(fleet, random);
            }
            assertKept(fleet, 0, 8.4, 40);
            assertKept(fleet, 1, 8.4, 40);
        }
    }

    // Guards against new shares that are in use before the others have lowered theirs.
    void processesThatJoinLateKeepTheLimit()
    {
        RateLimitSimulation fleet({33, 1, 67, 0.5, 3});
        fleet.limit = limitFrom(3, 1000, 8.4);
        for (std::size_t i = 10; i < 33; ++i)
            fleet.freeze(i);
        fleet.runUntil(fleet.at(15));
        for (std::size_t i = 10; i < 33; ++i)
            fleet.resume(i);
        fleet.runUntil(fleet.at(40));
        assertKept(fleet, 0, 8.4, 40);
        CPPUNIT_ASSERT(rate(fleet, 30, 40) >= 0.7 * 8.4);
    }

    // Guards against a request at each process while none of them can hear of the others.
    void outageOfTheStoreBeforeTheLimitKeepsIt()
    {
        for (const std::size_t processes : {std::size_t {12}, std::size_t {120}, largestFleet}) {
            if (processes > largestFleet)
                continue;
            for (const double limit : {1.0, 8.4}) {
                RateLimitSimulation fleet({processes, 1, 67, 0.3, 7, false});
                fleet.limit = limitFrom(3, 1000, limit);
                fleet.setStoreDown(true);
                fleet.runUntil(fleet.at(80));
                assertKept(fleet, 0, limit, 80);
                CPPUNIT_ASSERT(rate(fleet, 7, 76) > 0);
            }
        }
    }

    // The store takes 400 writes per second for everything.
    void storeGetsFewReportsFromALargeFleet()
    {
        RateLimitSimulation fleet({largestFleet, 3, 2.0 * largestFleet, 0, 8});
        fleet.limit = limitFrom(3, 1000, 30);
        fleet.runUntil(fleet.at(8));
        const std::size_t first = fleet.reportsWritten();
        CPPUNIT_ASSERT(static_cast<double>(first) / 5 <= 200);
        fleet.runUntil(fleet.at(16));
        CPPUNIT_ASSERT(static_cast<double>(fleet.reportsWritten() - first) / 8 <= 60);
        assertKept(fleet, 0, 30, 16);
    }

private:
    using Fleet = std::unique_ptr<RateLimitSimulation>;

    static std::function<std::optional<double>(std::size_t, TimePoint)>
    limitFrom(double from, double to, double limit)
    {
        return [from, to, limit](std::size_t, TimePoint now) -> std::optional<double> {
            const bool isNamed =
                now >= RateLimitSimulation::at(from) && now < RateLimitSimulation::at(to);
            return isNamed ? std::optional(limit) : std::nullopt;
        };
    }

    /// Servers name \a limit from 3 s to \a end; checks the bound on each of them.
    static Fleet play(const RateLimitSimulation::Settings &settings, double limit, double end)
    {
        auto fleet = std::make_unique<RateLimitSimulation>(settings);
        fleet->limit = limitFrom(3, end, limit);
        fleet->runUntil(RateLimitSimulation::at(end));
        for (std::size_t server = 0; server < settings.servers; ++server)
            assertKept(*fleet, server, limit, end);
        return fleet;
    }

    // From 4 s after the limit is named: a whole window in which it holds.
    static void assertKept(const RateLimitSimulation &fleet, std::size_t server, double limit,
                           double end)
    {
        const std::size_t most = fleet.mostInWindow(server, RateLimitSimulation::at(7),
                                                    RateLimitSimulation::at(end - 4));
        const std::string text = std::to_string(fleet.size())
            + " processes: " + std::to_string(most) + " requests, limit " + std::to_string(limit);
        CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(most) <= 1.5 * 4 * limit + 5);
    }

    static double rate(const RateLimitSimulation &fleet, double from, double to)
    {
        return fleet.perSecond(0, RateLimitSimulation::at(from), RateLimitSimulation::at(to));
    }

    static void disturb(RateLimitSimulation &fleet, RandomSource &random)
    {
        const std::size_t index = random.bounded(33);
        switch (random.bounded(5)) {
        case 0:
            return fleet.restart(index);
        case 1:
            return fleet.freeze(index);
        case 2:
            return fleet.cutFromStore(index);
        case 3:
            return fleet.expireReport(index);
        default:
            return fleet.resume(index);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitSimulationTest);
