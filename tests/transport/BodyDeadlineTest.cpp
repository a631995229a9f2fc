#include "BodyDeadline.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class BodyDeadlineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyDeadlineTest);
    CPPUNIT_TEST(longerLimitHolds);
    CPPUNIT_TEST(firstLimitCountsFromItsBeginning);
    CPPUNIT_TEST(removedLimitEndsNothing);
    CPPUNIT_TEST(nextRequestHasNoLimit);
    CPPUNIT_TEST_SUITE_END();

    const BodyDeadline::TimePoint m_start {1h};
    BodyDeadline m_deadline;

    void begin(BodyDeadline::Limit limit)
    {
        m_deadline.begin(m_start);
        m_deadline.setLimit(limit);
    }

public:
    // Guards against a body that is refused before the time that its caller was allowed.
    void longerLimitHolds()
    {
        begin(5s);
        m_deadline.extend(2s, m_start + 1s);
        CPPUNIT_ASSERT(m_deadline.endsAt() == m_start + 5s);
        m_deadline.extend(8s, m_start + 1s);
        CPPUNIT_ASSERT(m_deadline.endsAt() == m_start + 8s);
    }

    // Guards against a body that is refused at once because it took longer than its first limit.
    void firstLimitCountsFromItsBeginning()
    {
        begin({});
        m_deadline.extend(2s, m_start + 10s);
        CPPUNIT_ASSERT(m_deadline.endsAt() == m_start + 12s);
    }

    void removedLimitEndsNothing()
    {
        begin(5s);
        m_deadline.extend({}, m_start + 1s);
        CPPUNIT_ASSERT(!m_deadline.endsAt());
    }

    // Guards against the limit of a request that holds for the one behind it.
    void nextRequestHasNoLimit()
    {
        begin(5s);
        m_deadline.reset();
        CPPUNIT_ASSERT(!m_deadline.hasBegun());
        CPPUNIT_ASSERT(!m_deadline.endsAt());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyDeadlineTest);
