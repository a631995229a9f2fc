#include "foxtailring/decisions/admission/PlacementContention.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

// Runs of 28 gateways at 100 engines, by reports that lag.
class PlacementContentionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementContentionTest);
    CPPUNIT_TEST(usualLoadUsesAllRoom);
    CPPUNIT_TEST(burstLeavesRoomToOthersWhileFewEnginesHaveIt);
    CPPUNIT_TEST(urgentRunsCompeteWithOneAnother);
    CPPUNIT_TEST(loneGatewayKnowsItsOwnRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_contention.setProcessCount(28);
        m_contention.setEngineCount("s", 100, m_now);
    }

    // Guards against runs that wait while engines have room.
    void usualLoadUsesAllRoom()
    {
        play(1, 1);
        CPPUNIT_ASSERT_EQUAL(1.0, m_contention.usableFraction("s", 1, m_now));
        CPPUNIT_ASSERT_EQUAL(1.0, m_contention.usableFraction("other", 1, m_now));
    }

    // Guards against a dozen prompts at the one engine that has room.
    void burstLeavesRoomToOthersWhileFewEnginesHaveIt()
    {
        play(3, 20);
        const double runs = m_contention.runsPerEngine("s", m_now);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(runs), runs > 4 && runs < 9);
        CPPUNIT_ASSERT(m_contention.usableFraction("s", 1, m_now) < 0.4);
        m_now += 10s;
        CPPUNIT_ASSERT_EQUAL(1.0, m_contention.usableFraction("s", 1, m_now));
    }

    void urgentRunsCompeteWithOneAnother()
    {
        play(3, 20);
        CPPUNIT_ASSERT_EQUAL(1.0, m_contention.usableFraction("s", 0.1, m_now));
    }

    void loneGatewayKnowsItsOwnRuns()
    {
        m_contention.setProcessCount(1);
        play(3, 20);
        CPPUNIT_ASSERT_EQUAL(1.0, m_contention.usableFraction("s", 1, m_now));
    }

private:
    /// \brief Each second, \a found runs find room, as one of \a asked engines has it.
    void play(int found, int asked)
    {
        for (int look = 0; look < 10 * found; ++look) {
            for (int engine = 0; engine < asked; ++engine)
                m_contention.recordAsked("s", engine == asked / 2);
            m_contention.recordFound("s", m_now += 1000ms / found);
        }
    }

    PlacementContention m_contention;
    TimePoint m_now {1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementContentionTest);
