#include "foxtailring/decisions/sessions/EventSequence.h"

#include <cppunit/extensions/HelperMacros.h>

#include <initializer_list>
#include <limits>

using namespace foxtailring;

class EventSequenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSequenceTest);
    CPPUNIT_TEST(secondServerShowsTheStep);
    CPPUNIT_TEST(missingEventsOfANumberedStreamAreSeen);
    CPPUNIT_TEST(stepOfTheStreamIsNoGap);
    CPPUNIT_TEST(oneEventShowsItsStep);
    CPPUNIT_TEST(stepsThatVaryProveNothing);
    CPPUNIT_TEST(firstEventOfAResumedStreamProvesNothing);
    CPPUNIT_TEST(extremeIdsAreCompared);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a sound stream that is cut because its ids rise by more than one (REPORT-2,
    // LOST): a second server shows that they do.
    void secondServerShowsTheStep()
    {
        EventSequence events = after({1});
        CPPUNIT_ASSERT(events.isBeyondGap(6));
        events.recordGap(6);
        CPPUNIT_ASSERT(events.isBeyondGap(7));
        CPPUNIT_ASSERT(!events.isBeyondGap(6));
        events.record(6, true);
        CPPUNIT_ASSERT(!events.isBeyondGap(11));
        CPPUNIT_ASSERT(events.isBeyondGap(16));
    }

    // Guards against a server that leaves events out, and against a stream that goes on at another
    // server without some of its events.
    void missingEventsOfANumberedStreamAreSeen()
    {
        const EventSequence events = after({1, 2, 3});
        CPPUNIT_ASSERT(!events.isBeyondGap(4));
        CPPUNIT_ASSERT(events.isBeyondGap(5));
    }

    void stepOfTheStreamIsNoGap()
    {
        const EventSequence events = after({5, 10, 15});
        CPPUNIT_ASSERT(!events.isBeyondGap(20));
        CPPUNIT_ASSERT(events.isBeyondGap(25));
    }

    void oneEventShowsItsStep()
    {
        CPPUNIT_ASSERT(!after({1}).isBeyondGap(2));
        CPPUNIT_ASSERT(after({1}).isBeyondGap(3));
        CPPUNIT_ASSERT(!after({5}).isBeyondGap(10));
        CPPUNIT_ASSERT(after({0}).isBeyondGap(2));
        CPPUNIT_ASSERT(after({1000, 1001}).isBeyondGap(1003));
    }

    // Ids may count tokens, of which events hold several.
    void stepsThatVaryProveNothing() { CPPUNIT_ASSERT(!after({9, 18, 23}).isBeyondGap(40)); }

    // The caller resumed it, so the step is unknown.
    void firstEventOfAResumedStreamProvesNothing()
    {
        EventSequence events(50);
        CPPUNIT_ASSERT(events.isRepeated(50));
        CPPUNIT_ASSERT(!events.isBeyondGap(55));
        events.record(55, true);
        CPPUNIT_ASSERT(!events.isBeyondGap(65));
        events.record(60, false);
        CPPUNIT_ASSERT(events.isBeyondGap(70));
    }

    void extremeIdsAreCompared()
    {
        const EventSequence events = after({std::numeric_limits<std::int64_t>::min(),
                                            std::numeric_limits<std::int64_t>::min() + 1});
        CPPUNIT_ASSERT(events.isBeyondGap(std::numeric_limits<std::int64_t>::max()));
    }

private:
    /// Of one attempt.
    static EventSequence after(std::initializer_list<std::int64_t> ids)
    {
        EventSequence events(std::nullopt);
        for (const std::int64_t id : ids)
            events.record(id, !events.lastId());
        return events;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSequenceTest);
