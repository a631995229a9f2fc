#include "foxtailring/decisions/limits/IdleConnectionDivision.h"
#include "foxtailring/base/RandomSource.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace foxtailring;

class IdleConnectionDivisionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdleConnectionDivisionTest);
    CPPUNIT_TEST(sharesByOneListStayInTheLimit);
    CPPUNIT_TEST(evenDemandsGiveEvenShares);
    CPPUNIT_TEST(processWithoutDemandHasTheEvenShare);
    CPPUNIT_TEST(busyProcessTakesNoConnectionThatOthersNeed);
    CPPUNIT_TEST(busyProcessesOfALargeFleetHaveAConnection);
    CPPUNIT_TEST_SUITE_END();

    using Demands = std::vector<std::optional<int>>;

    static constexpr double limit = 48;
    static constexpr double tolerance = 1e-9;

    /// Share of the process at \a index of \a demands.
    static double shareOf(const Demands &demands, std::size_t index)
    {
        IdleConnectionDivision::Counts others;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            if (i != index)
                ++others[demands[i]];
        }
        return IdleConnectionDivision::shareOf(demands[index], others, limit);
    }

    static double sumOf(const Demands &demands)
    {
        double sum = 0;
        for (std::size_t i = 0; i < demands.size(); ++i)
            sum += shareOf(demands, i);
        return sum;
    }

    static Demands randomDemands(std::size_t count, RandomSource &random)
    {
        Demands demands(count);
        for (auto &demand : demands) {
            if (random.bounded(4) > 0)
                demand = static_cast<int>(random.bounded(IdleConnectionDivision::maxDemand + 1));
        }
        return demands;
    }

public:
    // Guards against processes that together keep more than the limit, with old ones among them.
    void sharesByOneListStayInTheLimit()
    {
        RandomSource random(1);
        for (std::size_t count = 1; count <= 350; count += 3) {
            const double sum = sumOf(randomDemands(count, random));
            CPPUNIT_ASSERT(sum <= limit + tolerance);
            CPPUNIT_ASSERT(sum >= 0.8 * limit);
        }
    }

    // Guards against a loss where there is nothing to divide by.
    void evenDemandsGiveEvenShares()
    {
        for (const std::size_t count : {1, 4, 33, 48, 49, 120, 350}) {
            const Demands demands(count, 3);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(limit / static_cast<double>(count), shareOf(demands, 0),
                                         tolerance);
        }
    }

    // Guards against new processes that leave old ones less than those take.
    void processWithoutDemandHasTheEvenShare()
    {
        const Demands demands {std::nullopt, 16, 0, 0};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12, shareOf(demands, 0), tolerance);
        CPPUNIT_ASSERT(sumOf(demands) <= limit + tolerance);
    }

    void busyProcessTakesNoConnectionThatOthersNeed()
    {
        Demands demands(33, 0);
        demands[0] = 16;
        CPPUNIT_ASSERT(shareOf(demands, 1) >= 1);
        CPPUNIT_ASSERT(shareOf(demands, 0) > 15);
    }

    void busyProcessesOfALargeFleetHaveAConnection()
    {
        Demands demands(350, 2);
        for (std::size_t i = 0; i < 35; ++i)
            demands[i] = 9;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, shareOf(demands, 0), tolerance);
        CPPUNIT_ASSERT(shareOf(demands, 349) > 0.03);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleConnectionDivisionTest);
