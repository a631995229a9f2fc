#include "foxtailring/decisions/generation/FenceTable.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class FenceTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FenceTableTest);
    CPPUNIT_TEST(olderAndRepeatedAttemptsAreStale);
    CPPUNIT_TEST(requestsExpireByAge);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_start = TimePoint() + 1h;

public:
    // Guards against an entry that was paused and then starts an attempt that has been replaced.
    void olderAndRepeatedAttemptsAreStale()
    {
        FenceTable fences(1min);
        CPPUNIT_ASSERT(fences.admit({"r", 2}, m_start).isOk());
        CPPUNIT_ASSERT(fences.admit({"r", 1}, m_start).error().code == ErrorCode::Stale);
        CPPUNIT_ASSERT(fences.admit({"r", 2}, m_start).error().code == ErrorCode::Stale);
        CPPUNIT_ASSERT(fences.check({"r", 1}).error().code == ErrorCode::Stale);
        CPPUNIT_ASSERT(fences.check({"r", 2}).isOk());
        CPPUNIT_ASSERT(fences.admit({"r", 3}, m_start).isOk());
        CPPUNIT_ASSERT(fences.admit({"other", 1}, m_start).isOk());
    }

    // Guards against unbounded growth. The age counts from the newest attempt.
    void requestsExpireByAge()
    {
        FenceTable fences(1min);
        CPPUNIT_ASSERT(fences.admit({"r", 1}, m_start).isOk());
        CPPUNIT_ASSERT(fences.admit({"r", 2}, m_start + 30s).isOk());
        fences.expire(m_start + 89s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fences.size());
        fences.expire(m_start + 90s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fences.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FenceTableTest);
