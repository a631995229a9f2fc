#include "DrainPeriod.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class DrainPeriodTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrainPeriodTest);
    CPPUNIT_TEST(eachReadGivesTime);
    CPPUNIT_TEST(endlessInputIsCut);
    CPPUNIT_TEST_SUITE_END();

    const DrainPeriod::TimePoint m_start {1h};
    DrainPeriod m_period;

public:
    void setUp() override { m_period.begin(m_start); }

    // Guards against a caller that loses its response because it sends a long body first.
    void eachReadGivesTime()
    {
        CPPUNIT_ASSERT(m_period.timeLeft(m_start) == DrainPeriod::quietTime);
        CPPUNIT_ASSERT(m_period.timeLeft(m_start + 20s) == DrainPeriod::quietTime);
    }

    // Guards against a connection that a caller keeps open by sending without end.
    void endlessInputIsCut()
    {
        CPPUNIT_ASSERT(m_period.timeLeft(m_start + DrainPeriod::longestTime - 5ms) == 5ms);
        CPPUNIT_ASSERT(m_period.timeLeft(m_start + DrainPeriod::longestTime + 1s) == 0ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainPeriodTest);
