#include "ConnectionDeadline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace foxtailring;
using namespace std::chrono_literals;

// The wait of a connection that is not open, so that no caller takes a part of a response.
class ConnectionDeadlineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionDeadlineTest);
    CPPUNIT_TEST(waitFollowsItsLimit);
    CPPUNIT_TEST(latestEndHoldsAlthoughTheLimitIsLonger);
    CPPUNIT_TEST(longerLimitExtendsAWaitThatIsOver);
    CPPUNIT_TEST(fixedWaitFollowsNoLimit);
    CPPUNIT_TEST(inputExtendsAWaitOnce);
    CPPUNIT_TEST(cancelledWaitDoesNotEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void waitFollowsItsLimit()
    {
        m_deadline.arm(&HttpLimits::idleTimeout);
        m_limits.idleTimeout = 0ms;
        m_deadline.update();
        m_context.run();
        CPPUNIT_ASSERT_EQUAL(1, m_timeouts);
    }

    // Guards against a body that may take any time as long as a part of it arrives now and then.
    void latestEndHoldsAlthoughTheLimitIsLonger()
    {
        m_latestEnd = std::chrono::steady_clock::now();
        m_deadline.arm(&HttpLimits::idleTimeout);
        m_context.run();
        CPPUNIT_ASSERT_EQUAL(1, m_timeouts);
        CPPUNIT_ASSERT(!m_deadline.extendForLimits());
    }

    // Guards against a cut by a limit that is no longer in force.
    void longerLimitExtendsAWaitThatIsOver()
    {
        m_limits.headerTimeout = 0ms;
        m_deadline.arm(&HttpLimits::headerTimeout);
        m_context.run();
        CPPUNIT_ASSERT_EQUAL(1, m_timeouts);
        CPPUNIT_ASSERT(!m_deadline.extendForLimits());
        m_limits.headerTimeout = 60s;
        CPPUNIT_ASSERT(m_deadline.extendForLimits());
    }

    void fixedWaitFollowsNoLimit()
    {
        m_deadline.arm(0ms);
        m_deadline.update();
        m_context.run();
        CPPUNIT_ASSERT_EQUAL(1, m_timeouts);
        CPPUNIT_ASSERT(!m_deadline.extendForLimits());
        CPPUNIT_ASSERT(!m_deadline.extendForReader());
    }

    // Guards against a connection that is never cut because input waits in the system's buffer.
    void inputExtendsAWaitOnce()
    {
        m_deadline.arm(&HttpLimits::idleTimeout);
        CPPUNIT_ASSERT(m_deadline.extendForInput());
        CPPUNIT_ASSERT(!m_deadline.extendForInput());
        m_context.run();
        CPPUNIT_ASSERT_EQUAL(1, m_timeouts);
        m_deadline.arm(&HttpLimits::idleTimeout);
        CPPUNIT_ASSERT(m_deadline.extendForInput());
    }

    // Guards against a limit that cuts a request while its handler works.
    void cancelledWaitDoesNotEnd()
    {
        m_deadline.arm(&HttpLimits::idleTimeout);
        m_deadline.cancel();
        m_deadline.update();
        m_context.run();
        CPPUNIT_ASSERT_EQUAL(0, m_timeouts);
    }

private:
    net::io_context m_context;
    Socket m_socket {Strand(m_context.get_executor())};
    HttpLimits m_limits;
    std::optional<ConnectionDeadline::TimePoint> m_latestEnd;
    int m_timeouts = 0;
    ConnectionDeadline m_deadline {
        m_socket,
        m_limits,
        {[this] { return [this] { ++m_timeouts; }; }, [this] { return m_latestEnd; }}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionDeadlineTest);
