#include "foxtailring/decisions/sessions/AnswerTimes.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class AnswerTimesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerTimesTest);
    CPPUNIT_TEST(fewAnswersSayNothing);
    CPPUNIT_TEST(longestOfRecentAnswersIsKept);
    CPPUNIT_TEST(oldAnswersAreForgotten);
    CPPUNIT_TEST(routesAreSeparate);
    CPPUNIT_TEST(callsWithoutAnAnswerCount);
    CPPUNIT_TEST(callThatWasNotRunSaysNothing);
    CPPUNIT_TEST_SUITE_END();

    using Ms = std::chrono::milliseconds;
    using Minutes = std::chrono::minutes;

public:
    void fewAnswersSayNothing()
    {
        record("reads", 19, Ms(50), m_start);
        CPPUNIT_ASSERT(!m_times.longest("reads", m_start));
        record("reads", 1, Ms(50), m_start);
        CPPUNIT_ASSERT(m_times.longest("reads", m_start) == Ms(50));
    }

    // Guards against an average, which would hide the slow answers.
    void longestOfRecentAnswersIsKept()
    {
        record("reads", 1, Ms(4000), m_start + Minutes(1));
        record("reads", 1000, Ms(50), m_start + Minutes(2));
        CPPUNIT_ASSERT(m_times.longest("reads", m_start + Minutes(2)) == Ms(4000));
        record("reads", 1, Ms(50), m_start + Minutes(7));
        CPPUNIT_ASSERT(m_times.longest("reads", m_start + Minutes(7)) == Ms(4000));
    }

    void oldAnswersAreForgotten()
    {
        record("reads", 100, Ms(4000), m_start);
        record("reads", 100, Ms(50), m_start + Minutes(6));
        record("reads", 1, Ms(60), m_start + Minutes(12));
        CPPUNIT_ASSERT(m_times.longest("reads", m_start + Minutes(12)) == Ms(60));
        CPPUNIT_ASSERT(!m_times.longest("reads", m_start + Minutes(23)));
        record("reads", 1, Ms(60), m_start + Minutes(30));
        CPPUNIT_ASSERT(!m_times.longest("reads", m_start + Minutes(30)));
    }

    void routesAreSeparate()
    {
        record("reads", 100, Ms(50), m_start);
        CPPUNIT_ASSERT(!m_times.longest("writes", m_start));
    }

    // Guards against a young process that has seen the quick answers only.
    void callsWithoutAnAnswerCount()
    {
        m_times.begin("reads", m_start);
        m_times.begin("reads", m_start + Ms(500));
        record("reads", 100, Ms(50), m_start + Ms(2000));
        CPPUNIT_ASSERT(m_times.longest("reads", m_start + Ms(3000)) == Ms(3000));
        m_times.end("reads", m_start, true, m_start + Ms(3100));
        CPPUNIT_ASSERT(m_times.longest("reads", m_start + Ms(3300)) == Ms(3100));
        CPPUNIT_ASSERT(m_times.longest("reads", m_start + Ms(3900)) == Ms(3400));
    }

    void callThatWasNotRunSaysNothing()
    {
        record("reads", 100, Ms(50), m_start);
        m_times.begin("reads", m_start);
        m_times.end("reads", m_start, false, m_start + Ms(900));
        CPPUNIT_ASSERT(m_times.longest("reads", m_start + Ms(900)) == Ms(50));
    }

private:
    void recordOne(std::string_view route, Duration time, TimePoint now)
    {
        m_times.begin(route, now - time);
        m_times.end(route, now - time, true, now);
    }

    void record(std::string_view route, int count, Duration time, TimePoint now)
    {
        for (int number = 0; number < count; ++number)
            recordOne(route, time, now);
    }

    const TimePoint m_start {std::chrono::hours(1)};
    AnswerTimes m_times;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerTimesTest);
