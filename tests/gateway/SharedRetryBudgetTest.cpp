#include "foxtailring/decisions/RetryBudget.h"
#include "GatewayParts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace foxtailring;

// The users' budget holds for all gateways together: 0.8 of a service's requests, plus 150, in 10
// s.
class SharedRetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedRetryBudgetTest);
    CPPUNIT_TEST(fleetOf33StaysInTheBudget);
    CPPUNIT_TEST(fleetOf350StaysInTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    void fleetOf33StaysInTheBudget() { assertInBudget(33); }
    // Guards against a minimum at each gateway that adds up to more than the users allow.
    void fleetOf350StaysInTheBudget() { assertInBudget(350); }

private:
    // Each gateway gets two requests and retries as often as it may.
    static void assertInBudget(int gateways)
    {
        const TimePoint now {std::chrono::hours(1)};
        int retries = 0;
        for (int i = 0; i < gateways; ++i) {
            RetryBudget budget(GatewayParts::retryBudgetSettings);
            budget.deposit("service", now);
            budget.deposit("service", now);
            while (budget.tryConsume("service", now))
                ++retries;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(retries) + " retries",
                               retries <= 0.8 * 2 * gateways + 150);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedRetryBudgetTest);
