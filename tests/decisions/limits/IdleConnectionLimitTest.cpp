#include "foxtailring/decisions/limits/IdleConnectionLimit.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class IdleConnectionLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdleConnectionLimitTest);
    CPPUNIT_TEST(smallFleetKeepsConnectionsForTheWholeTime);
    CPPUNIT_TEST(connectionsBeyondTheShareAreClosed);
    CPPUNIT_TEST(busyServerOfALargeFleetIsKeptForAShortTime);
    CPPUNIT_TEST(newProcessOfALargeFleetKeepsNone);
    CPPUNIT_TEST(resetServerIsNotKeptForAWhile);
    CPPUNIT_TEST(unusedServersAreForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void smallFleetKeepsConnectionsForTheWholeTime()
    {
        m_limit.setProcessCount(4);
        for (std::size_t idleCount = 0; idleCount < 12; ++idleCount)
            CPPUNIT_ASSERT(m_limit.keepFor("a", idleCount, m_now) == maxKeptFor);
    }

    void connectionsBeyondTheShareAreClosed()
    {
        m_limit.setProcessCount(48);
        CPPUNIT_ASSERT(m_limit.keepFor("a", 0, m_now) == maxKeptFor);
        CPPUNIT_ASSERT(m_limit.keepFor("a", 1, m_now) == Ms(0));
    }

    void busyServerOfALargeFleetIsKeptForAShortTime()
    {
        m_limit.setProcessCount(96);
        const Ms rare = keptAfter(Ms(4000), "rare");
        const Ms frequent = keptAfter(Ms(1000), "frequent");
        CPPUNIT_ASSERT(frequent > Ms(0));
        CPPUNIT_ASSERT(frequent < rare);
        CPPUNIT_ASSERT(rare < Ms(4000));
        CPPUNIT_ASSERT(keptAfter(Ms(50), "busy") == Ms(0));
    }

    // Guards against a fleet that starts and keeps one connection at each gateway.
    void newProcessOfALargeFleetKeepsNone()
    {
        m_limit.setProcessCount(350);
        CPPUNIT_ASSERT(m_limit.keepFor("a", 0, m_now) == Ms(0));
    }

    // Guards against connections that take the place of those at work while a queue is long.
    void resetServerIsNotKeptForAWhile()
    {
        m_limit.setProcessCount(4);
        m_limit.recordReset("a", m_now);
        CPPUNIT_ASSERT(m_limit.keepFor("a", 0, m_now + Ms(4999)) == Ms(0));
        CPPUNIT_ASSERT(m_limit.keepFor("b", 0, m_now + Ms(4999)) == maxKeptFor);
        CPPUNIT_ASSERT(m_limit.keepFor("a", 0, m_now + Ms(5000)) == maxKeptFor);
    }

    // Guards against memory that grows with each server that ever was.
    void unusedServersAreForgotten()
    {
        m_limit.keepFor("a", 0, m_now);
        m_limit.keepFor("b", 0, m_now + Ms(30'000));
        m_limit.expire(m_now + Ms(60'001));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_limit.serverCount());
    }

private:
    using Ms = std::chrono::milliseconds;

    static constexpr Ms maxKeptFor {8000};

    /// The time for the last of many connections in equal intervals.
    Ms keptAfter(Ms interval, std::string_view server)
    {
        Ms kept {0};
        for (TimePoint at = m_now; at < m_now + Ms(40'000); at += interval)
            kept = m_limit.keepFor(server, 0, at);
        return kept;
    }

    TimePoint m_now {std::chrono::hours(1)};
    IdleConnectionLimit m_limit {48, maxKeptFor};
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleConnectionLimitTest);
