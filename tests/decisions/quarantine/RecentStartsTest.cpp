#include "foxtailring/decisions/quarantine/RecentStarts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace foxtailring;
using namespace std::chrono_literals;

class RecentStartsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecentStartsTest);
    CPPUNIT_TEST(frequentSuspectSurvivesManyOthers);
    CPPUNIT_TEST(mostFrequentSuspectsSurvive);
    CPPUNIT_TEST(othersAreForgotten);
    CPPUNIT_TEST(weightDecays);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that is refused as if nobody had answered it, because its gateway
    // answers thousands of others.
    void frequentSuspectSurvivesManyOthers()
    {
        record("hot", 24);
        for (int i = 0; i < 20000; ++i)
            record("other" + std::to_string(i), 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(24, m_starts.weight("hot", m_now), 1e-6);
        CPPUNIT_ASSERT(m_starts.lastStart("hot") == m_now);
    }

    void mostFrequentSuspectsSurvive()
    {
        record("hot", 24);
        for (int i = 0; i < 20000; ++i)
            record("other" + std::to_string(i), 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(24, m_starts.weight("hot", m_now), 1e-6);
    }

    // Guards against memory that grows with the number of requests.
    void othersAreForgotten()
    {
        for (int i = 0; i < 20000; ++i)
            record("other" + std::to_string(i), 2);
        int known = 0;
        for (int i = 0; i < 20000; ++i)
            known += m_starts.lastStart("other" + std::to_string(i)) ? 1 : 0;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(known), known <= 4096);
    }

    void weightDecays()
    {
        record("hot", 24);
        for (int i = 0; i < 20000; ++i) {
            m_now += 10ms;
            record("other" + std::to_string(i), 1);
        }
        CPPUNIT_ASSERT(m_starts.weight("hot", m_now) < 0.01);
        CPPUNIT_ASSERT(!m_starts.lastStart("hot"));
    }

private:
    void record(const std::string &suspect, int count)
    {
        for (int i = 0; i < count; ++i)
            m_starts.record(suspect, m_now);
    }

    TimePoint m_now = TimePoint {} + 1h;
    RecentStarts m_starts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecentStartsTest);
