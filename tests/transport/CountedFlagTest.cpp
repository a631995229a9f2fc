#include "CountedFlag.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace foxtailring;

class CountedFlagTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CountedFlagTest);
    CPPUNIT_TEST(flagCountsOnce);
    CPPUNIT_TEST(destroyedFlagIsNotCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a count that drifts because a flag is set, or cleared, twice.
    void flagCountsOnce()
    {
        m_flag->set(true);
        m_flag->set(true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_counter.load());
        m_flag->set(false);
        m_flag->set(false);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_counter.load());
    }

    // Guards against a stop that waits for connections that are gone.
    void destroyedFlagIsNotCounted()
    {
        m_flag->set(true);
        m_flag.reset();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_counter.load());
    }

private:
    std::atomic<std::size_t> m_counter = 0;
    std::optional<CountedFlag> m_flag {m_counter};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CountedFlagTest);
