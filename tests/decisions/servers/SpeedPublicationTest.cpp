#include "foxtailring/decisions/servers/SpeedPublication.h"

#include "SpeedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace foxtailring;

namespace {

// The largest fleet would take a quarter of an hour under sanitizers.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
constexpr bool playsLargestFleet = false;
#else
constexpr bool playsLargestFleet = true;
#endif

} // namespace

// Runs are placed at random. An engine that no run has ended at is not counted as unknown.
class SpeedPublicationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SpeedPublicationTest);
    CPPUNIT_TEST(fleetsKnowTheirEnginesWithinSeconds);
    CPPUNIT_TEST(largestFleetKeepsToItsBytes);
    CPPUNIT_TEST(writingStopsOnceSpeedsAreKnown);
    CPPUNIT_TEST(slowerEngineIsToldAgain);
    CPPUNIT_TEST(othersTellWhatAGatewayThatEndsKnew);
    CPPUNIT_TEST(lostWritesAreRepeated);
    CPPUNIT_TEST(endedLeaseIsFollowedByTheSameReport);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against gateways that each know only the engines of their own runs. 27 runs a second
    // on 102 engines; the first runs end after 3.5 to 10 s.
    void fleetsKnowTheirEnginesWithinSeconds()
    {
        for (const std::size_t gateways : {12, 28, 33, 350}) {
            SpeedFleet fleet({gateways, 102, 27}, gateways);
            fleet.run(Ms(10'000));
            while (fleet.leastKnownPart(1) < 0.9 && fleet.time() < Ms(60'000))
                fleet.run(Ms(250));
            report(std::to_string(gateways) + " gateways, 102 engines: nine of ten known", fleet);
            CPPUNIT_ASSERT(fleet.time() <= Ms(30'000));
            fleet.run(Ms(30'000));
            CPPUNIT_ASSERT(fleet.leastKnownPart(1) >= 0.97);
            checkCost(fleet);
        }
    }

    // Guards against bytes and writes that grow with gateways times engines. 3180 runs a second on
    // 12,000 engines; the reports of all readings would take several megabytes.
    void largestFleetKeepsToItsBytes()
    {
        if (!playsLargestFleet)
            return;
        SpeedFleet fleet({350, 12'000, 3180}, 11);
        fleet.run(Ms(60'000));
        CPPUNIT_ASSERT(fleet.leastKnownPart(25) > 0);
        while (fleet.leastKnownPart(25) < 0.9 && fleet.time() < Ms(200'000))
            fleet.run(Ms(5000));
        report("350 gateways, 12,000 engines: nine of ten known", fleet);
        CPPUNIT_ASSERT(fleet.time() <= Ms(180'000));
        checkCost(fleet);
    }

    // Guards against a fleet that writes as long as runs end.
    void writingStopsOnceSpeedsAreKnown()
    {
        SpeedFleet fleet({28, 102, 27}, 3);
        fleet.run(Ms(120'000));
        const std::size_t before = fleet.counts().writes;
        fleet.run(Ms(480'000));
        const std::size_t later = fleet.counts().writes - before;
        std::cout << before << " writes in 120 s, " << later << " in the next 480 s\n";
        CPPUNIT_ASSERT(later <= 8);
    }

    // Guards against a speed that stays as it was first seen: 35 ms between events become 100 ms.
    void slowerEngineIsToldAgain()
    {
        SpeedFleet fleet({28, 102, 27}, 5);
        fleet.setInterval(7, Ms(35));
        fleet.run(Ms(120'000));
        CPPUNIT_ASSERT(knownInterval(fleet, 7) < Ms(40));
        const std::size_t before = fleet.counts().writes;
        fleet.setInterval(7, Ms(100));
        fleet.run(Ms(120'000));
        CPPUNIT_ASSERT(knownInterval(fleet, 7) > Ms(50));
        fleet.run(Ms(360'000));
        CPPUNIT_ASSERT(knownInterval(fleet, 7) > Ms(80));
        CPPUNIT_ASSERT(fleet.counts().writes - before <= 40);
    }

    // Guards against engines that the fleet forgets with one gateway.
    void othersTellWhatAGatewayThatEndsKnew()
    {
        SpeedFleet fleet({12, 102, 27}, 7);
        fleet.run(Ms(120'000));
        for (std::size_t gateway = 0; gateway < 4; ++gateway)
            fleet.end(gateway);
        fleet.run(Ms(10'000));
        CPPUNIT_ASSERT(fleet.leastKnownPart(1) >= 0.97);
    }

    // Guards against a report that the process takes for written although its answer was lost.
    void lostWritesAreRepeated()
    {
        SpeedFleet fleet({28, 102, 27}, 9);
        std::size_t writes = 0;
        fleet.loseWrites([&writes](std::size_t) { return ++writes % 2 == 0; });
        fleet.run(Ms(60'000));
        CPPUNIT_ASSERT(fleet.leastKnownPart(1) >= 0.97);
        checkCost(fleet);
    }

    // Guards against readings that end with the lease of their gateway, for all gateways at once.
    void endedLeaseIsFollowedByTheSameReport()
    {
        SpeedFleet fleet({28, 102, 27}, 13);
        fleet.run(Ms(40'000));
        for (std::size_t reader = 0; reader < 28; ++reader) {
            for (const std::string &reporter : fleet.speeds(reader).reporters())
                fleet.speeds(reader).forgetReporter(reporter);
            fleet.publication(reader).onNotPublished();
        }
        CPPUNIT_ASSERT(fleet.leastKnownPart(1) < 0.5);
        fleet.run(Ms(10'000));
        CPPUNIT_ASSERT(fleet.leastKnownPart(1) >= 0.97);
        checkCost(fleet);
    }

private:
    using Ms = SpeedFleet::Ms;

    static void report(const std::string &name, const SpeedFleet &fleet)
    {
        std::cout << name << " after " << fleet.time().count() << " ms, " << fleet.counts().writes
                  << " writes, at most " << fleet.counts().mostWrites << " in a second, "
                  << fleet.counts().bytes << " bytes at a reader, at most "
                  << fleet.counts().mostBytes / 10 << " a second\n";
    }
    // The store takes 1200 writes a second, and a reader 8 KB of what gateways write.
    static void checkCost(const SpeedFleet &fleet)
    {
        CPPUNIT_ASSERT(fleet.counts().mostWrites < 120);
        CPPUNIT_ASSERT(fleet.counts().mostBytes < 10 * 8000);
    }
    static Ms knownInterval(SpeedFleet &fleet, std::size_t engine)
    {
        const SpeedReading known =
            fleet.speeds(0).merged(SpeedFleet::service, SpeedFleet::address(engine));
        return std::chrono::duration_cast<Ms>(known.eventInterval);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpeedPublicationTest);
