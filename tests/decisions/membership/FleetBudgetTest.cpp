#include "foxtailring/decisions/membership/FleetBudget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

using namespace foxtailring;

class FleetBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetBudgetTest);
    CPPUNIT_TEST(littleIsWrittenAtOnce);
    CPPUNIT_TEST(beyondTheBudgetOnlyUrgentWritesGoOn);
    CPPUNIT_TEST(overloadEndsWithItsCause);
    CPPUNIT_TEST(fleetKeepsToTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_budget.setProcessCount(350); }

    void littleIsWrittenAtOnce()
    {
        m_budget.recordRead(1000, m_start);
        m_budget.recordWrite(1000, m_start);
        CPPUNIT_ASSERT(m_budget.mayWrite(m_start));
    }

    void beyondTheBudgetOnlyUrgentWritesGoOn()
    {
        m_budget.recordRead(200'000, m_start);
        CPPUNIT_ASSERT(!m_budget.mayWrite(m_start));
        m_budget.recordWrite(1000, m_start);
        CPPUNIT_ASSERT(!m_budget.mayWriteUrgent(m_start + Ms(4900)));
        CPPUNIT_ASSERT(m_budget.mayWriteUrgent(m_start + Ms(5000)));
    }

    // Guards against a fleet that stays silent after a burst.
    void overloadEndsWithItsCause()
    {
        m_budget.recordRead(100'000, m_start);
        m_budget.recordWrite(1000, m_start);
        CPPUNIT_ASSERT(m_budget.mayWrite(m_start + Ms(31'000)));
    }

    // Guards against bytes at a reader that grow with the fleet: each process would write 1 KB a
    // second.
    void fleetKeepsToTheBudget()
    {
        constexpr int processes = 350;
        std::deque<FleetBudget> budgets;
        for (int i = 0; i < processes; ++i)
            budgets.emplace_back(8000, static_cast<double>(i) / processes)
                .setProcessCount(processes);
        std::size_t bytes = 0;
        for (TimePoint now = m_start; now < m_start + Ms(60'000); now += Ms(250)) {
            for (FleetBudget &budget : budgets) {
                if (!budget.mayWrite(now))
                    continue;
                budget.recordWrite(writeBytes, now);
                bytes += now >= m_start + Ms(20'000) ? writeBytes : 0;
                for (FleetBudget &reader : budgets)
                    reader.recordRead(writeBytes, now);
            }
        }
        CPPUNIT_ASSERT(bytes / 40 <= 8000);
    }

private:
    using Ms = std::chrono::milliseconds;
    static constexpr std::size_t writeBytes = 1000;

    const TimePoint m_start {std::chrono::hours(1)};
    FleetBudget m_budget {8000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetBudgetTest);
