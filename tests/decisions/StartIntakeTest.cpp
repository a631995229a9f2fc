#include "foxtailring/decisions/StartIntake.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class StartIntakeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StartIntakeTest);
    CPPUNIT_TEST(callersWaitForTheFirstRead);
    CPPUNIT_TEST(nobodyIsHeldBackFromAStoreThatIsAway);
    CPPUNIT_TEST(waitingRequestsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusals in the first milliseconds after all processes were killed.
    void callersWaitForTheFirstRead()
    {
        CPPUNIT_ASSERT(m_intake.mayWait(0, m_start));
        CPPUNIT_ASSERT(m_intake.mayWait(50, m_start + Ms(100)));
    }

    void nobodyIsHeldBackFromAStoreThatIsAway()
    {
        CPPUNIT_ASSERT(!m_intake.mayWait(0, m_intake.end()));
    }

    // Guards against the memory of a burst that comes before any limit is known.
    void waitingRequestsAreBounded() { CPPUNIT_ASSERT(!m_intake.mayWait(1000, m_start)); }

private:
    using Ms = std::chrono::milliseconds;

    const TimePoint m_start {std::chrono::hours(1)};
    const StartIntake m_intake {m_start, Ms(300)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartIntakeTest);
