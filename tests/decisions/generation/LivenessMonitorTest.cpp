#include "foxtailring/decisions/generation/LivenessMonitor.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class LivenessMonitorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LivenessMonitorTest);
    CPPUNIT_TEST(silenceIsSuspectedThenLost);
    CPPUNIT_TEST(frameEndsSuspicion);
    CPPUNIT_TEST(resetIsSuspectedAtOnce);
    CPPUNIT_TEST(pausedMonitorKeepsTheReattachWindow);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_start {1h};

public:
    void silenceIsSuspectedThenLost()
    {
        LivenessMonitor monitor({}, m_start);
        CPPUNIT_ASSERT(monitor.check(m_start + 999ms) == Liveness::Alive);
        CPPUNIT_ASSERT(monitor.nextChangeAt() == m_start + 1000ms);
        CPPUNIT_ASSERT(monitor.check(m_start + 1000ms) == Liveness::Suspected);
        CPPUNIT_ASSERT(monitor.check(m_start + 1499ms) == Liveness::Suspected);
        CPPUNIT_ASSERT(monitor.check(m_start + 1500ms) == Liveness::Lost);
        monitor.onFrameReceived(m_start + 1600ms);
        CPPUNIT_ASSERT(monitor.state() == Liveness::Lost);
    }

    // Guards against treating a slow prefill or a replaced connection as a failure.
    void frameEndsSuspicion()
    {
        LivenessMonitor monitor({}, m_start);
        monitor.onFrameReceived(m_start + 900ms);
        CPPUNIT_ASSERT(monitor.check(m_start + 1800ms) == Liveness::Alive);
        CPPUNIT_ASSERT(monitor.check(m_start + 1900ms) == Liveness::Suspected);
        monitor.onFrameReceived(m_start + 2000ms);
        CPPUNIT_ASSERT(monitor.check(m_start + 2900ms) == Liveness::Alive);
    }

    void resetIsSuspectedAtOnce()
    {
        LivenessMonitor monitor({}, m_start);
        monitor.onStreamReset(m_start + 10ms);
        monitor.onStreamReset(m_start + 400ms);
        CPPUNIT_ASSERT(monitor.state() == Liveness::Suspected);
        CPPUNIT_ASSERT(monitor.check(m_start + 510ms) == Liveness::Lost);
    }

    // Guards against an entry that gives up all its attempts after it was itself paused.
    void pausedMonitorKeepsTheReattachWindow()
    {
        LivenessMonitor monitor({}, m_start);
        CPPUNIT_ASSERT(monitor.check(m_start + 60s) == Liveness::Suspected);
        CPPUNIT_ASSERT(monitor.check(m_start + 60s + 499ms) == Liveness::Suspected);
        CPPUNIT_ASSERT(monitor.check(m_start + 60s + 500ms) == Liveness::Lost);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LivenessMonitorTest);
