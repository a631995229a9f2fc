#include "foxtailring/decisions/limits/IdleConnectionDemand.h"
#include "foxtailring/decisions/limits/IdleConnectionDivision.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class IdleConnectionDemandTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdleConnectionDemandTest);
    CPPUNIT_TEST(demandIsDueTwoSecondsAfterTheFirstRequest);
    CPPUNIT_TEST(firstDemandsOfALargeFleetAreSpread);
    CPPUNIT_TEST(rateNearTheListedStepIsNotDue);
    CPPUNIT_TEST(demandThatTheListLacksIsWrittenAgain);
    CPPUNIT_TEST(largeFleetWritesSeldom);
    CPPUNIT_TEST(demandStaysInItsRange);
    CPPUNIT_TEST_SUITE_END();

    static constexpr TimePoint start {1h};

    TimePoint m_now = start;
    IdleConnectionDemand m_demand {0};

    /// Requests in equal intervals, the last one at m_now.
    void record(double perSecond, std::chrono::seconds duration)
    {
        const auto interval =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
        for (const TimePoint end = m_now + duration; m_now < end; m_now += interval)
            m_demand.record(m_now);
    }

public:
    void demandIsDueTwoSecondsAfterTheFirstRequest()
    {
        CPPUNIT_ASSERT(!m_demand.takeDue(std::nullopt, 4, m_now));
        record(100, 1s);
        CPPUNIT_ASSERT(!m_demand.takeDue(std::nullopt, 4, m_now));
        record(100, 2s);
        CPPUNIT_ASSERT(m_demand.takeDue(std::nullopt, 4, m_now) == 7);
    }

    // Guards against hundreds of writes at the same time after a start of all processes.
    void firstDemandsOfALargeFleetAreSpread()
    {
        IdleConnectionDemand late(0.5);
        late.record(m_now);
        CPPUNIT_ASSERT(!late.takeDue(std::nullopt, 350, m_now + 10s));
        CPPUNIT_ASSERT(late.takeDue(std::nullopt, 350, m_now + 11s));
    }

    // Guards against writes at each fluctuation.
    void rateNearTheListedStepIsNotDue()
    {
        record(6, 60s);
        CPPUNIT_ASSERT(!m_demand.takeDue(3, 4, m_now));
        CPPUNIT_ASSERT(!m_demand.takeDue(2, 4, m_now));
        CPPUNIT_ASSERT(m_demand.takeDue(4, 4, m_now) == 3);
    }

    // Guards against a demand that is never known after its write was lost.
    void demandThatTheListLacksIsWrittenAgain()
    {
        record(8, 30s);
        CPPUNIT_ASSERT(m_demand.takeDue(std::nullopt, 4, m_now) == 3);
        CPPUNIT_ASSERT(!m_demand.takeDue(std::nullopt, 4, m_now + 4s));
        record(8, 5s);
        CPPUNIT_ASSERT(m_demand.takeDue(std::nullopt, 4, m_now) == 3);
    }

    void largeFleetWritesSeldom()
    {
        record(8, 30s);
        CPPUNIT_ASSERT(m_demand.takeDue(std::nullopt, 350, m_now));
        CPPUNIT_ASSERT(!m_demand.takeDue(8, 350, m_now + 17s));
        CPPUNIT_ASSERT(m_demand.takeDue(8, 350, m_now + 18s));
    }

    void demandStaysInItsRange()
    {
        record(0.1, 60s);
        CPPUNIT_ASSERT(m_demand.takeDue(std::nullopt, 1, m_now) == 0);
        for (int i = 0; i < 2'000'000; ++i)
            m_demand.record(m_now);
        CPPUNIT_ASSERT(m_demand.takeDue(0, 1, m_now + 6s) == IdleConnectionDivision::maxDemand);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleConnectionDemandTest);
