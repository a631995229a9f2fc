#include "foxtailring/decisions/membership/RereadPacing.h"
#include "foxtailring/base/RandomSource.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

using namespace foxtailring;

namespace {

constexpr double readsPerSecond = 2000;

// Start times of all calls of a fleet whose processes read at random moments within \a spread.
std::vector<Duration> callTimes(std::size_t processes, std::size_t calls, Duration spread)
{
    constexpr std::chrono::milliseconds callTime {5};
    RandomSource random(7);
    std::vector<Duration> times;
    for (std::size_t process = 0; process < processes; ++process) {
        const Duration start(random.bounded(static_cast<std::uint64_t>(spread.count()) + 1));
        for (std::size_t call = 0; call < calls; ++call)
            times.push_back(start + call * callTime);
    }
    std::sort(times.begin(), times.end());
    return times;
}

std::size_t mostInOneSecond(const std::vector<Duration> &times)
{
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end = std::lower_bound(first, times.end(), *first + std::chrono::seconds(1));
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

} // namespace

class RereadPacingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RereadPacingTest);
    CPPUNIT_TEST(readsOfAFleetStayBelowTheRateOfTheStore);
    CPPUNIT_TEST(smallFleetReadsAlmostAtOnce);
    CPPUNIT_TEST(spreadIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a store that rejects most calls because all processes read it at once.
    void readsOfAFleetStayBelowTheRateOfTheStore()
    {
        const std::pair<std::size_t, std::size_t> fleets[] = {
            {6, 1}, {117, 2}, {350, 1}, {350, 25}};
        for (const auto &[processes, calls] : fleets) {
            const Duration spread = m_pacing.spread(processes, calls);
            CPPUNIT_ASSERT(mostInOneSecond(callTimes(processes, calls, spread)) < readsPerSecond);
        }
        CPPUNIT_ASSERT(mostInOneSecond(callTimes(350, 25, Duration {0})) > readsPerSecond);
    }

    void smallFleetReadsAlmostAtOnce()
    {
        CPPUNIT_ASSERT(m_pacing.spread(30, 1) <= std::chrono::milliseconds(30));
    }

    void spreadIsBounded()
    {
        CPPUNIT_ASSERT(m_pacing.spread(100'000, 1'000) <= std::chrono::seconds(10));
    }

private:
    const RereadPacing m_pacing {readsPerSecond};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RereadPacingTest);
