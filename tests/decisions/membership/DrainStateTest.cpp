#include "foxtailring/decisions/membership/DrainState.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class DrainStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrainStateTest);
    CPPUNIT_TEST(waitsForWorkAndAcknowledgements);
    CPPUNIT_TEST(limitEndsDraining);
    CPPUNIT_TEST(heldServerCanResume);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_start = TimePoint() + 1h;

public:
    // Guards against a shutdown that loses a running generation or an answer not yet delivered.
    void waitsForWorkAndAcknowledgements()
    {
        DrainState drain(1min);
        CPPUNIT_ASSERT(drain.admitWork().isOk());
        CPPUNIT_ASSERT(drain.update(0, m_start) == DrainPhase::Serving);
        CPPUNIT_ASSERT(drain.begin(m_start));
        CPPUNIT_ASSERT(!drain.begin(m_start));
        CPPUNIT_ASSERT(drain.admitWork().error().code == ErrorCode::Draining);
        CPPUNIT_ASSERT(drain.admitAttach().isOk());
        CPPUNIT_ASSERT(drain.update(0, m_start + 1s) == DrainPhase::Draining);
        drain.endWork();
        CPPUNIT_ASSERT(drain.update(1, m_start + 2s) == DrainPhase::Draining);
        CPPUNIT_ASSERT(drain.update(0, m_start + 3s) == DrainPhase::Drained);
        CPPUNIT_ASSERT(!drain.admitAttach().isOk());
    }

    // Guards against a process that never exits because one entry never acknowledges.
    void limitEndsDraining()
    {
        DrainState drain(1min);
        CPPUNIT_ASSERT(drain.admitWork().isOk());
        CPPUNIT_ASSERT(drain.begin(m_start));
        CPPUNIT_ASSERT(drain.update(1, m_start + 59s) == DrainPhase::Draining);
        CPPUNIT_ASSERT(drain.update(1, m_start + 60s) == DrainPhase::Drained);
    }

    // Guards against an operator's hold that cannot be undone, or that ends the process.
    void heldServerCanResume()
    {
        DrainState drain(1min);
        CPPUNIT_ASSERT(drain.setHold(true));
        CPPUNIT_ASSERT(!drain.setHold(true));
        CPPUNIT_ASSERT(!drain.takesNewWork());
        CPPUNIT_ASSERT(drain.admitWork().error().code == ErrorCode::Draining);
        CPPUNIT_ASSERT(drain.admitAttach().isOk());
        CPPUNIT_ASSERT(drain.update(0, m_start) == DrainPhase::Serving);
        CPPUNIT_ASSERT(drain.setHold(false));
        CPPUNIT_ASSERT(drain.admitWork().isOk());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainStateTest);
