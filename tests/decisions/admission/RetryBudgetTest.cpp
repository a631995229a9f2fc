#include "foxtailring/decisions/admission/RetryBudget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class RetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryBudgetTest);
    CPPUNIT_TEST(retriesFollowSuccesses);
    CPPUNIT_TEST(oldSuccessesDoNotCount);
    CPPUNIT_TEST(minimumRateAllowsRetriesOfAnIdleService);
    CPPUNIT_TEST(fleetSharesTheMinimumRate);
    CPPUNIT_TEST(roundingAddsUpToTheExactBudget);
    CPPUNIT_TEST(spareRetryLeavesOne);
    CPPUNIT_TEST(workThatWaitsComesFirst);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now = TimePoint {} + 1h;

    static int retries(RetryBudget &budget, const char *service, TimePoint at)
    {
        int allowed = 0;
        while (budget.tryConsume(service, at))
            ++allowed;
        return allowed;
    }
    static RetryBudget::Settings withoutMinimumRate()
    {
        RetryBudget::Settings settings;
        settings.minPerSecond = 0;
        return settings;
    }

public:
    // Guards against retries that multiply the load of a service that is failing.
    void retriesFollowSuccesses()
    {
        RetryBudget budget(withoutMinimumRate());
        for (int i = 0; i < 1000; ++i)
            budget.deposit("a", m_now);
        CPPUNIT_ASSERT_EQUAL(0, retries(budget, "b", m_now));
        CPPUNIT_ASSERT_EQUAL(100, retries(budget, "a", m_now + 1s));
        CPPUNIT_ASSERT_EQUAL(0, retries(budget, "a", m_now + 2s));
    }

    // Guards against a budget that accumulates for long and is spent all at once in an outage.
    void oldSuccessesDoNotCount()
    {
        RetryBudget budget(withoutMinimumRate());
        for (int i = 0; i < 1000; ++i)
            budget.deposit("a", m_now);
        CPPUNIT_ASSERT_EQUAL(0, retries(budget, "a", m_now + 11s));
        budget.deposit("a", m_now + 11s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, budget.remaining("a", m_now + 11s), 1e-9);
    }

    // Guards against a service with little traffic that can never retry.
    void minimumRateAllowsRetriesOfAnIdleService()
    {
        RetryBudget budget;
        CPPUNIT_ASSERT_EQUAL(2, retries(budget, "a", m_now));
        CPPUNIT_ASSERT_EQUAL(0, retries(budget, "a", m_now + 5s));
        CPPUNIT_ASSERT_EQUAL(2, retries(budget, "a", m_now + 11s));
    }

    // Guards against a minimum that every process of a fleet takes whole.
    void fleetSharesTheMinimumRate()
    {
        RetryBudget::Settings settings;
        settings.minPerSecond = 2;
        RetryBudget budget(settings);
        budget.setProcessCount(4);
        CPPUNIT_ASSERT_EQUAL(5, retries(budget, "a", m_now));
        budget.setProcessCount(2);
        CPPUNIT_ASSERT_EQUAL(5, retries(budget, "a", m_now));
        budget.setProcessCount(0);
        CPPUNIT_ASSERT_EQUAL(10, retries(budget, "a", m_now));
    }

    // Guards against processes with little work that never retry, or each round up.
    void roundingAddsUpToTheExactBudget()
    {
        int total = 0;
        for (int i = 0; i < 10; ++i) {
            RetryBudget::Settings settings = withoutMinimumRate();
            settings.fraction = 0.3;
            settings.rounding = 0.05 + 0.1 * i;
            RetryBudget budget(settings);
            budget.deposit("a", m_now);
            total += retries(budget, "a", m_now);
        }
        CPPUNIT_ASSERT_EQUAL(3, total);
    }

    // Guards against a retry that is of no use because its next step cannot be paid for.
    void spareRetryLeavesOne()
    {
        RetryBudget::Settings settings;
        settings.minPerSecond = 0.3;
        RetryBudget budget(settings);
        CPPUNIT_ASSERT(budget.hasSpareRetry("a", m_now));
        CPPUNIT_ASSERT(budget.tryConsume("a", m_now));
        CPPUNIT_ASSERT(budget.hasSpareRetry("a", m_now));
        CPPUNIT_ASSERT(budget.tryConsume("a", m_now));
        CPPUNIT_ASSERT(!budget.hasSpareRetry("a", m_now));
        CPPUNIT_ASSERT(budget.hasRetry("a", m_now));
        CPPUNIT_ASSERT(budget.hasSpareRetry("b", m_now));
    }

    // Guards against retries that are taken on a belief while a lost stream waits for one.
    void workThatWaitsComesFirst()
    {
        RetryBudget::Settings settings;
        settings.minPerSecond = 0.3;
        RetryBudget budget(settings);
        budget.addWaiting("a");
        CPPUNIT_ASSERT(budget.hasSpareRetry("a", m_now));
        budget.addWaiting("a");
        CPPUNIT_ASSERT(!budget.hasSpareRetry("a", m_now));
        CPPUNIT_ASSERT(budget.hasRetry("a", m_now));
        CPPUNIT_ASSERT(budget.hasSpareRetry("b", m_now));
        budget.removeWaiting("a");
        CPPUNIT_ASSERT(budget.hasSpareRetry("a", m_now));
        budget.removeWaiting("a");
        CPPUNIT_ASSERT(budget.hasSpareRetry("a", m_now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);
