#include "foxtailring/decisions/admission/DrainAdmission.h"
#include "foxtailring/decisions/sessions/EngineLatencyEstimator.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class DrainAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrainAdmissionTest);
    CPPUNIT_TEST(callThatMayOutlastTheProcessIsRefused);
    CPPUNIT_TEST(callerThatWaitsBrieflyIsServedLater);
    CPPUNIT_TEST(callThatUsuallyEndsInTimeIsServed);
    CPPUNIT_TEST(nonIdempotentCallNeedsMoreTime);
    CPPUNIT_TEST(usualDurationDoesNotExceedTheTimeLimit);
    CPPUNIT_TEST(objectiveIsExpectedAtLeast);
    CPPUNIT_TEST(streamThatMayOutlastTheProcessIsRefused);
    CPPUNIT_TEST(rejectedCallIsNotSentAgainTooLate);
    CPPUNIT_TEST(durationOfARunIsUnknownUntilOneWasSeen);
    CPPUNIT_TEST(everythingIsAcceptedWithoutADrain);
    CPPUNIT_TEST_SUITE_END();

    using Ms = std::chrono::milliseconds;

public:
    void setUp() override { m_admission.begin(m_start, m_start + Ms(7300)); }

    // Guards against calls that a server has begun and that the end of the process cuts off.
    void callThatMayOutlastTheProcessIsRefused()
    {
        for (const CallKind kind : {CallKind::Idempotent, CallKind::NonIdempotent}) {
            CPPUNIT_ASSERT(accepts({kind, Ms(5000), Ms(300), {}}, 2300));
            CPPUNIT_ASSERT(!accepts({kind, Ms(5000), Ms(300), {}}, 2301));
        }
    }

    void callerThatWaitsBrieflyIsServedLater()
    {
        CPPUNIT_ASSERT(accepts({CallKind::NonIdempotent, Ms(2500), Ms(300), {}}, 4800));
    }

    // Guards against refusing what could be served while the load balancer learns of the drain.
    void callThatUsuallyEndsInTimeIsServed()
    {
        CPPUNIT_ASSERT(accepts({CallKind::Idempotent, Ms(30'000), Ms(300), Ms(60)}, 4900));
        CPPUNIT_ASSERT(!accepts({CallKind::Idempotent, Ms(30'000), Ms(300), Ms(60)}, 5000));
    }

    void nonIdempotentCallNeedsMoreTime()
    {
        CPPUNIT_ASSERT(accepts({CallKind::Idempotent, Ms(30'000), Ms(300), Ms(1500)}, 4300));
        CPPUNIT_ASSERT(!accepts({CallKind::Idempotent, Ms(30'000), Ms(300), Ms(1500)}, 4301));
        CPPUNIT_ASSERT(accepts({CallKind::NonIdempotent, Ms(30'000), Ms(300), Ms(1500)}, 2800));
        CPPUNIT_ASSERT(!accepts({CallKind::NonIdempotent, Ms(30'000), Ms(300), Ms(1500)}, 2801));
    }

    void usualDurationDoesNotExceedTheTimeLimit()
    {
        CPPUNIT_ASSERT(accepts({CallKind::NonIdempotent, Ms(5000), Ms(300), Ms(4000)}, 2300));
    }

    void objectiveIsExpectedAtLeast()
    {
        CPPUNIT_ASSERT(accepts({CallKind::NonIdempotent, Ms(30'000), Ms(4000), Ms(60)}, 3300));
        CPPUNIT_ASSERT(!accepts({CallKind::NonIdempotent, Ms(30'000), Ms(4000), Ms(60)}, 3301));
    }

    // Guards against streams of the first second that are cut off by the end of the process.
    void streamThatMayOutlastTheProcessIsRefused()
    {
        CPPUNIT_ASSERT(!accepts({CallKind::Stream, Ms(25'000), Ms(1500), {}}, 0));
        CPPUNIT_ASSERT(!accepts({CallKind::Stream, Ms(25'000), Ms(1500), Ms(4000)}, 0));
        CPPUNIT_ASSERT(accepts({CallKind::Stream, Ms(25'000), Ms(1500), Ms(3000)}, 999));
        CPPUNIT_ASSERT(!accepts({CallKind::Stream, Ms(25'000), Ms(1500), Ms(3000)}, 1000));
    }

    // Guards against passing a non-idempotent call on with too little time after a refusal.
    void rejectedCallIsNotSentAgainTooLate()
    {
        const DrainAdmission::Request usual {CallKind::NonIdempotent, Ms(5000), Ms(300), Ms(1000)};
        CPPUNIT_ASSERT(m_admission.minAttemptTime(usual, m_start + Ms(3000)) == Ms(3000));
        // The deadline is the one without a drain.
        CPPUNIT_ASSERT(m_admission.minAttemptTime(usual, m_start + Ms(2000)) == Ms(0));
        CPPUNIT_ASSERT(DrainAdmission().minAttemptTime(usual, m_start) == Ms(0));
    }

    void durationOfARunIsUnknownUntilOneWasSeen()
    {
        EngineLatencyEstimator latency;
        CPPUNIT_ASSERT(!latency.usualRunDuration("engine", 1000, 60));
        latency.recordFirstEvent("engine", 1000, Ms(200));
        CPPUNIT_ASSERT(!latency.usualRunDuration("engine", 1000, 60));
        latency.recordEventInterval("engine", Ms(10));
        const auto usual = latency.usualRunDuration("engine", 1000, 60);
        CPPUNIT_ASSERT(usual && *usual > Ms(800) && *usual < Ms(1600));
    }

    void everythingIsAcceptedWithoutADrain()
    {
        DrainAdmission other;
        CPPUNIT_ASSERT(other.accepts({CallKind::Stream, Ms(900'000), Ms(1500), {}}, m_start));
    }

private:
    bool accepts(const DrainAdmission::Request &request, int ageMs) const
    {
        return m_admission.accepts(request, m_start + Ms(ageMs));
    }

    const TimePoint m_start {std::chrono::hours(1)};
    DrainAdmission m_admission;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainAdmissionTest);
