#include "foxtailring/decisions/admission/StartupAdmission.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class StartupAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StartupAdmissionTest);
    CPPUNIT_TEST(requestsWaitForTheFirstRead);
    CPPUNIT_TEST(requestsDoNotWaitForAnUnreachableStore);
    CPPUNIT_TEST(waitingRequestsAreLimited);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusals in the first milliseconds after all processes restarted.
    void requestsWaitForTheFirstRead()
    {
        CPPUNIT_ASSERT(m_admission.mayWait(0, m_start));
        CPPUNIT_ASSERT(m_admission.mayWait(50, m_start + Ms(100)));
    }

    void requestsDoNotWaitForAnUnreachableStore()
    {
        CPPUNIT_ASSERT(!m_admission.mayWait(0, m_admission.end()));
    }

    // Guards against unbounded memory use by a burst before the configured limits are known.
    void waitingRequestsAreLimited() { CPPUNIT_ASSERT(!m_admission.mayWait(1000, m_start)); }

private:
    using Ms = std::chrono::milliseconds;

    const TimePoint m_start {std::chrono::hours(1)};
    const StartupAdmission m_admission {m_start, Ms(300)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartupAdmissionTest);
