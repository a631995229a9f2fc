#include "foxtailring/decisions/membership/HistoryCost.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace foxtailring;

class HistoryCostTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HistoryCostTest);
    CPPUNIT_TEST(replacedVersionsBeyondTheStateAreNotFollowed);
    CPPUNIT_TEST(oneVersionOfEachKeyIsFollowed);
    CPPUNIT_TEST(stormLastsWhileItsKeyIsWritten);
    CPPUNIT_TEST(largeAnswerBehindIsNotFollowed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_cost.recordState(stateBytes, m_start); }

    // Guards against a reader that transfers each version of a large configuration.
    void replacedVersionsBeyondTheStateAreNotFollowed()
    {
        CPPUNIT_ASSERT(!m_cost.recordChanges(versions(2), m_start));
        CPPUNIT_ASSERT(m_cost.recordChanges(versions(4), m_start));
    }

    void oneVersionOfEachKeyIsFollowed()
    {
        const std::vector<HistoryCost::Change> changes {
            {"a", configBytes}, {"b", configBytes}, {"c", configBytes}, {"d", configBytes}};
        CPPUNIT_ASSERT(!m_cost.recordChanges(changes, m_start));
    }

    void stormLastsWhileItsKeyIsWritten()
    {
        CPPUNIT_ASSERT(m_cost.recordChanges(versions(4), m_start));
        m_cost.recordState(stateBytes, m_start + Ms(1000));
        CPPUNIT_ASSERT(m_cost.recordChanges(versions(1), m_start + Ms(1100)));
        m_cost.recordState(stateBytes, m_start + Ms(2000));
        CPPUNIT_ASSERT(!m_cost.recordChanges(versions(1), m_start + Ms(9000)));
        CPPUNIT_ASSERT(!m_cost.isInStorm());
    }

    // Guards against a reader after an outage that gets there only part by part.
    void largeAnswerBehindIsNotFollowed()
    {
        m_cost.recordChanges(std::vector<HistoryCost::Change> {{"a", 100}}, m_start);
        CPPUNIT_ASSERT(!m_cost.isStateCheaperWhenBehind());
        m_cost.recordChanges(std::vector<HistoryCost::Change> {{"a", configBytes}}, m_start);
        CPPUNIT_ASSERT(m_cost.isStateCheaperWhenBehind());
        m_cost.recordState(100 * stateBytes, m_start);
        m_cost.recordChanges(std::vector<HistoryCost::Change> {{"a", configBytes}}, m_start);
        CPPUNIT_ASSERT(!m_cost.isStateCheaperWhenBehind());
    }

private:
    using Ms = std::chrono::milliseconds;
    static constexpr std::size_t configBytes = 100'000;
    static constexpr std::size_t stateBytes = 150'000;

    static std::vector<HistoryCost::Change> versions(std::size_t count)
    {
        return std::vector<HistoryCost::Change>(count, {"config", configBytes});
    }

    const TimePoint m_start {std::chrono::hours(1)};
    HistoryCost m_cost;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryCostTest);
