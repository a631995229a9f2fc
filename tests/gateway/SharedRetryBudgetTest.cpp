#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/admission/RetryBudget.h"
#include "foxtailring/decisions/membership/FleetMembership.h"
#include "GatewayParts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>
#include <string>
#include <vector>

using namespace foxtailring;
using namespace std::chrono_literals;

// The users' budget holds for all gateways together: 0.8 of a service's requests, plus 150, in 10
// s.
class SharedRetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedRetryBudgetTest);
    CPPUNIT_TEST(fleetOf33StaysInTheBudget);
    CPPUNIT_TEST(fleetOf350StaysInTheBudget);
    CPPUNIT_TEST(gatewaysThatCannotReadTheListStayInTheBudget);
    CPPUNIT_TEST(outageThatEndsAllLeasesStaysInTheBudget);
    CPPUNIT_TEST(fleetThatGrowsStaysInTheBudget);
    CPPUNIT_TEST(restartOfAllGatewaysStaysInTheBudget);
    CPPUNIT_TEST(smallFleetMayUseItsWholeShare);
    CPPUNIT_TEST_SUITE_END();

    struct Gateway
    {
        explicit Gateway(const std::string &id, RandomSource &random)
            : fleet(id)
            , budget(GatewayParts::retryBudgetSettings(random))
        {
        }

        /// Two requests, and as many retries as it may.
        int retryAll(TimePoint now)
        {
            budget.deposit("service", now);
            budget.deposit("service", now);
            fleet.expire(now);
            budget.setProcessCount(fleet.size());
            int retries = 0;
            while (budget.tryConsume("service", now))
                ++retries;
            return retries;
        }

        FleetMembership fleet;
        RetryBudget budget;
    };
    using Gateways = std::deque<Gateway>;

    const TimePoint m_now {1h};
    RandomSource m_random {1};

public:
    void fleetOf33StaysInTheBudget() { assertInBudget(33); }
    // Guards against a minimum at each gateway that adds up to more than the users allow.
    void fleetOf350StaysInTheBudget() { assertInBudget(350); }

    void gatewaysThatCannotReadTheListStayInTheBudget()
    {
        Gateways gateways = start(350);
        assertInBudget(retryAll(gateways, m_now), 2 * 350);
    }

    // Guards against gateways that each take themselves for the only one when the list is empty.
    void outageThatEndsAllLeasesStaysInTheBudget()
    {
        Gateways gateways = start(350);
        list(gateways, namesOf(350));
        list(gateways, {});
        assertInBudget(retryAll(gateways, m_now + 10s), 2 * 350);
    }

    // Guards against gateways that use the share of a small fleet until they hear of the new ones.
    void fleetThatGrowsStaysInTheBudget()
    {
        Gateways gateways = start(350);
        for (std::size_t i = 0; i < gateways.size(); ++i)
            gateways[i].fleet.replace(namesOf(i < 33 ? 33 : 350), m_now);
        assertInBudget(retryAll(gateways, m_now), 2 * 350);
    }

    // Guards against a minimum that each new process gets once more.
    void restartOfAllGatewaysStaysInTheBudget()
    {
        for (const std::size_t count : {4, 33, 350}) {
            int retries = 0;
            for (int start = 0; start < 2; ++start)
                retries += retriesOfListed(count);
            assertInBudget(retries, 2 * 2 * count);
        }
    }

    // Guards against shares so small that a failing server is never replaced.
    void smallFleetMayUseItsWholeShare() { CPPUNIT_ASSERT(retriesOfListed(4) >= 75); }

private:
    Gateways start(std::size_t count)
    {
        Gateways gateways;
        for (const std::string &name : namesOf(count))
            gateways.emplace_back(name, m_random);
        return gateways;
    }

    static std::vector<std::string> namesOf(std::size_t count)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < count; ++i)
            names.push_back("g" + std::to_string(i));
        return names;
    }

    void list(Gateways &gateways, const std::vector<std::string> &names) const
    {
        for (Gateway &gateway : gateways)
            gateway.fleet.replace(names, m_now);
    }

    static int retryAll(Gateways &gateways, TimePoint now)
    {
        int retries = 0;
        for (Gateway &gateway : gateways)
            retries += gateway.retryAll(now);
        return retries;
    }

    int retriesOfListed(std::size_t count)
    {
        Gateways gateways = start(count);
        list(gateways, namesOf(count));
        return retryAll(gateways, m_now);
    }

    void assertInBudget(std::size_t count) { assertInBudget(retriesOfListed(count), 2 * count); }

    static void assertInBudget(int retries, std::size_t requests)
    {
        const double allowed = 0.8 * static_cast<double>(requests) + 150;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(retries) + " retries", retries <= allowed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedRetryBudgetTest);
