#include "foxtailring/decisions/StartupAdmission.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class StartupAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StartupAdmissionTest);
    CPPUNIT_TEST(callersWaitForTheFirstRead);
    CPPUNIT_TEST(nobodyIsHeldBackFromAStoreThatIsAway);
    CPPUNIT_TEST(waitingRequestsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusals in the first milliseconds after all processes were killed.
    void callersWaitForTheFirstRead()
    {
        CPPUNIT_ASSERT(m_admission.mayWait(0, m_start));
        CPPUNIT_ASSERT(m_admission.mayWait(50, m_start + Ms(100)));
    }

    void nobodyIsHeldBackFromAStoreThatIsAway()
    {
        CPPUNIT_ASSERT(!m_admission.mayWait(0, m_admission.end()));
    }

    // Guards against the memory of a burst that comes before any limit is known.
    void waitingRequestsAreBounded() { CPPUNIT_ASSERT(!m_admission.mayWait(1000, m_start)); }

private:
    using Ms = std::chrono::milliseconds;

    const TimePoint m_start {std::chrono::hours(1)};
    const StartupAdmission m_admission {m_start, Ms(300)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartupAdmissionTest);
