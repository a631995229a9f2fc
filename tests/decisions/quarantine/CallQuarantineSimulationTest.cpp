#include "CallQuarantineFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

using namespace foxtailring;
using namespace std::chrono_literals;

namespace {

// Sanitizers slow a fleet down sixtyfold. The program without them plays everything.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
constexpr std::array<std::size_t, 1> gatewayCounts {4};
constexpr std::uint64_t seedCount = 2;
#else
constexpr std::array<std::size_t, 3> gatewayCounts {4, 33, 350};
constexpr std::uint64_t seedCount = 10;
#endif
// A play of 350 gateways takes about 0.3 s; all seedCount of them would take most of the time
// limit.
constexpr std::size_t largeFleet = 100;
constexpr std::uint64_t seedsOfLargeFleets = 5;

} // namespace

// Many gateways, plain servers, and a call that crashes each server that begins to run it. The
// users allow three such calls to reach servers later than a stable window after the third crash.
class CallQuarantineSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallQuarantineSimulationTest);
    CPPUNIT_TEST(fewDeadlyCallsReachServersLate);
    CPPUNIT_TEST(fewDeadlyCallsReachServersLateWhileOtherServicesFail);
    CPPUNIT_TEST(allGatewaysRejectADeadlyCall);
    CPPUNIT_TEST(allGatewaysRejectADeadlyCallWhileOtherServicesFail);
    CPPUNIT_TEST(soundCallsAreServedBesideADeadlyCall);
    CPPUNIT_TEST(soundCallsAreServedWhileOtherServicesFail);
    CPPUNIT_TEST(soundCallsAreServedWhileTheStoreIsAway);
    CPPUNIT_TEST(soundCallsAreServedBesideRandomCrashes);
    CPPUNIT_TEST(soundCallsAreServedWhileZonesAreLost);
    CPPUNIT_TEST(storeGetsFewReports);
    CPPUNIT_TEST_SUITE_END();

    using Fleet = CallQuarantineFleet;

    enum class Kind { DeadlyCall, EnginesFail, StoreAway, RandomCrashes, ZoneLosses };

    struct Play
    {
        Fleet::Scenario scenario;
        Fleet::Result result;
    };

    /// Sums and largest values over all seedCount.
    struct Summary
    {
        std::size_t plays = 0;
        std::size_t mostLate = 0;
        std::size_t mostLateWithStore = 0;
        std::size_t mostOpen = 0;
        std::size_t mostOpenLater = 0;
        std::size_t soundRefused = 0;
        double mostReportsPerCrash = 0;
        std::size_t mostReports = 0;
    };
    using Plays = std::vector<Play>;

    // The first trial of a quarantined call, 20 s after the crashes, is within this time.
    static constexpr auto playTime = 40s;
    static constexpr std::size_t maxLateDeadly = 3;
    static constexpr std::size_t maxReportsPerSecond = 100;

public:
    void fewDeadlyCallsReachServersLate() { assertFewLate(Kind::DeadlyCall); }
    // Guards against failures of other services that hide a deadly call.
    void fewDeadlyCallsReachServersLateWhileOtherServicesFail()
    {
        assertFewLate(Kind::EnginesFail);
    }

    // Guards against evidence that comes too late at other gateways, or not to one that starts.
    void allGatewaysRejectADeadlyCall() { assertAllReject(Kind::DeadlyCall); }
    void allGatewaysRejectADeadlyCallWhileOtherServicesFail()
    {
        assertAllReject(Kind::EnginesFail);
    }

    // Guards against accusing calls that were lost at the same servers as the deadly one.
    void soundCallsAreServedBesideADeadlyCall() { assertSoundIsServed(Kind::DeadlyCall); }
    void soundCallsAreServedWhileOtherServicesFail() { assertSoundIsServed(Kind::EnginesFail); }
    // Guards against accusing calls that other gateways have seen answered.
    void soundCallsAreServedWhileTheStoreIsAway() { assertSoundIsServed(Kind::StoreAway); }
    // Guards against accusing a call that is at most servers because many callers make it.
    void soundCallsAreServedBesideRandomCrashes() { assertSoundIsServed(Kind::RandomCrashes); }

    // Guards against accusing calls that were retried in a zone that was being lost.
    void soundCallsAreServedWhileZonesAreLost() { assertSoundIsServed(Kind::ZoneLosses); }

    // Guards against a report of each gateway for each crash.
    void storeGetsFewReports()
    {
        for (const Kind kind : {Kind::DeadlyCall, Kind::EnginesFail, Kind::StoreAway,
                                Kind::RandomCrashes, Kind::ZoneLosses})
            assertAll(kind, [](const Fleet::Result &result) {
                return result.mostReports <= maxReportsPerSecond;
            });
    }

private:
    using Check = std::function<bool(const Fleet::Result &)>;

    static void assertFewLate(Kind kind)
    {
        assertAll(kind,
                  [](const Fleet::Result &result) { return result.lateDeadly <= maxLateDeadly; });
    }

    // Where there is no third crash, all that see the call have rejected it before.
    static void assertAllReject(Kind kind)
    {
        assertAll(kind, [](const Fleet::Result &result) {
            return result.openGateways == 0 && result.openLater == 0;
        });
    }

    static void assertSoundIsServed(Kind kind)
    {
        assertAll(kind, [](const Fleet::Result &result) {
            return result.soundRefused == 0 && result.soundNotRetried == 0;
        });
    }

    static void assertAll(Kind kind, const Check &isKept)
    {
        std::string broken;
        for (const Play &play : playsOf(kind)) {
            if (!isKept(play.result))
                broken += textOf(play) + '\n';
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), broken);
    }

    // Several cases judge the same plays.
    static const Plays &playsOf(Kind kind)
    {
        static std::map<Kind, Plays> plays;
        if (!plays.contains(kind)) {
            plays[kind] = playAll(kind);
            printSummaries(kind, plays[kind]);
        }
        return plays[kind];
    }

    static std::uint64_t seedsOf(std::size_t gateways)
    {
        return gateways > largeFleet ? std::min(seedCount, seedsOfLargeFleets) : seedCount;
    }

    static Plays playAll(Kind kind)
    {
        Plays plays;
        for (const std::size_t gateways : gatewayCounts) {
            for (const std::size_t servers : {3, 12}) {
                for (const bool isIdempotent : {false, true}) {
                    for (std::uint64_t seed = 1; seed <= seedsOf(gateways); ++seed) {
                        Fleet::Scenario scenario {gateways, servers, isIdempotent, seed};
                        scenario.isStoreAway = kind == Kind::StoreAway;
                        scenario.hasEngineFailures = kind == Kind::EnginesFail;
                        scenario.hasRandomCrashes = kind == Kind::RandomCrashes;
                        scenario.hasZoneLosses = kind == Kind::ZoneLosses;
                        if (scenario.hasRandomCrashes || scenario.hasZoneLosses) {
                            scenario.deadlyPerSecond = 0;
                            scenario.hotShare = 0.5;
                        }
                        plays.push_back({scenario, Fleet(scenario).run(playTime)});
                    }
                }
            }
        }
        return plays;
    }

    static std::string_view nameOf(Kind kind)
    {
        switch (kind) {
        case Kind::DeadlyCall:
            return "deadly call";
        case Kind::EnginesFail:
            return "other services fail";
        case Kind::StoreAway:
            return "store away";
        case Kind::RandomCrashes:
            return "random crashes";
        case Kind::ZoneLosses:
            return "zones lost";
        }
        return {};
    }

    static void printSummaries(Kind kind, const Plays &plays)
    {
        std::map<std::string, Summary> summaries;
        for (const Play &play : plays) {
            const Fleet::Result &result = play.result;
            Summary &summary = summaries[textOf(play.scenario)];
            const double perCrash = static_cast<double>(result.reports)
                / static_cast<double>(std::max<std::size_t>(result.crashes, 1));
            ++summary.plays;
            summary.mostLate = std::max(summary.mostLate, result.lateDeadly);
            summary.mostLateWithStore = std::max(summary.mostLateWithStore, result.lateWithStore);
            summary.mostOpen = std::max(summary.mostOpen, result.openGateways);
            summary.mostOpenLater = std::max(summary.mostOpenLater, result.openLater);
            summary.soundRefused += result.soundRefused + result.soundNotRetried;
            summary.mostReportsPerCrash = std::max(summary.mostReportsPerCrash, perCrash);
            summary.mostReports = std::max(summary.mostReports, result.mostReports);
        }
        std::cout << '\n';
        for (const auto &[text, summary] : summaries)
            std::cout << nameOf(kind) << ", " << text << ", " << summary.plays
                      << " plays, at most: late " << summary.mostLate << ", "
                      << summary.mostLateWithStore << " with the store, open gateways "
                      << summary.mostOpen << ", later " << summary.mostOpenLater
                      << ", reports per crash " << summary.mostReportsPerCrash << ", in a second "
                      << summary.mostReports << "; sound refused in all " << summary.soundRefused
                      << '\n';
    }

    static std::string textOf(const Fleet::Scenario &scenario)
    {
        return std::to_string(scenario.gateways) + " gateways, " + std::to_string(scenario.servers)
            + " servers, " + (scenario.isIdempotent ? "idempotent" : "one attempt");
    }

    static std::string textOf(const Play &play)
    {
        const Fleet::Result &result = play.result;
        const auto number = [](std::size_t value) { return std::to_string(value); };
        return textOf(play.scenario) + ", seed " + number(play.scenario.seed) + ": "
            + number(result.crashes) + " crashes, " + number(result.lateDeadly) + " of "
            + number(result.deadly) + " deadly late, " + number(result.openGateways) + " and "
            + number(result.openLater) + " gateways open, of " + number(result.sound) + " sound "
            + number(result.soundLost) + " lost, " + number(result.soundRefused) + " refused, "
            + number(result.soundNotRetried) + " not retried (" + number(result.hotRefused)
            + " hot), " + number(result.reports) + " reports, " + number(result.mostReports)
            + " in a second";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallQuarantineSimulationTest);
