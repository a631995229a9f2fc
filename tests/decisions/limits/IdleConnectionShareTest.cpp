#include "foxtailring/decisions/limits/IdleConnectionShare.h"
#include "foxtailring/decisions/membership/FleetMembership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace foxtailring;
using namespace std::chrono_literals;

class IdleConnectionShareTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdleConnectionShareTest);
    CPPUNIT_TEST(nothingIsKeptBeforeTheListIsKnown);
    CPPUNIT_TEST(processThatIsNotListedHasHalf);
    CPPUNIT_TEST(shareRisesAfterAllHaveSeenTheList);
    CPPUNIT_TEST(shareFallsAtOnce);
    CPPUNIT_TEST(lowShareForAMomentCountsForTheWholeDelay);
    CPPUNIT_TEST(busyProcessWithoutStoreHasTheEvenShare);
    CPPUNIT_TEST(idleProcessWithoutStoreKeepsItsShare);
    CPPUNIT_TEST(shareOnTheRiseDoesNotRiseWithoutStore);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now {1h};
    FleetMembership m_fleet {"a"};
    IdleConnectionShare m_share {{48, 2500ms}};

    void list(const std::vector<std::string> &ids) { m_fleet.replace(ids, m_now); }

    void setDemands(int own, int other)
    {
        m_fleet.setDemand("a", own);
        m_fleet.setDemand("b", other);
    }

    double at(Duration time, Duration listAge = 0ms)
    {
        m_share.update(m_fleet, listAge, m_now + time);
        return m_share.inForce();
    }

public:
    void nothingIsKeptBeforeTheListIsKnown()
    {
        CPPUNIT_ASSERT_EQUAL(0.0, at(0ms));
        list({"a", "b"});
        CPPUNIT_ASSERT_EQUAL(24.0, at(100ms));
    }

    // Guards against a fleet that grows and for seconds keeps twice the limit.
    void processThatIsNotListedHasHalf()
    {
        list({"b"});
        CPPUNIT_ASSERT_EQUAL(12.0, at(0ms));
        m_fleet.put("a");
        CPPUNIT_ASSERT_EQUAL(12.0, at(1s));
        CPPUNIT_ASSERT_EQUAL(24.0, at(3750ms));
        m_fleet.remove("a", m_now);
        CPPUNIT_ASSERT_EQUAL(24.0, at(4s));
    }

    // Guards against a share that is taken before the others have given it up.
    void shareRisesAfterAllHaveSeenTheList()
    {
        list({"a", "b"});
        CPPUNIT_ASSERT_EQUAL(24.0, at(0ms));
        setDemands(9, 1);
        CPPUNIT_ASSERT_EQUAL(24.0, at(1s));
        CPPUNIT_ASSERT_EQUAL(24.0, at(3700ms));
        CPPUNIT_ASSERT(at(3750ms) > 40);
    }

    void shareFallsAtOnce()
    {
        list({"a", "b"});
        at(0ms);
        setDemands(1, 9);
        CPPUNIT_ASSERT(at(1ms) < 2);
    }

    // Guards against a share that rises by a list that another process has not yet seen to end.
    void lowShareForAMomentCountsForTheWholeDelay()
    {
        list({"a", "b"});
        at(0ms);
        setDemands(1, 9);
        at(10s);
        setDemands(5, 5);
        CPPUNIT_ASSERT(at(10s) < 2);
        CPPUNIT_ASSERT(at(12700ms) < 2);
        CPPUNIT_ASSERT_EQUAL(24.0, at(12750ms));
    }

    // Guards against two processes with the same share when one does not learn of the other.
    void busyProcessWithoutStoreHasTheEvenShare()
    {
        list({"a", "b"});
        setDemands(9, 1);
        CPPUNIT_ASSERT(at(0ms, 2500ms) > 40);
        CPPUNIT_ASSERT_EQUAL(24.0, at(250ms, 2750ms));
        CPPUNIT_ASSERT_EQUAL(24.0, at(1s));
        CPPUNIT_ASSERT_EQUAL(24.0, at(3s));
        CPPUNIT_ASSERT(at(3750ms) > 40);
    }

    void idleProcessWithoutStoreKeepsItsShare()
    {
        list({"a", "b"});
        setDemands(1, 9);
        const double share = at(0ms);
        CPPUNIT_ASSERT_EQUAL(share, at(60s, 60s));
        CPPUNIT_ASSERT(share < 2);
    }

    // Guards against a rise by a list that the others never saw before the store was lost.
    void shareOnTheRiseDoesNotRiseWithoutStore()
    {
        list({"a", "b"});
        setDemands(1, 9);
        const double share = at(0ms);
        setDemands(5, 5);
        at(1s);
        CPPUNIT_ASSERT_EQUAL(share, at(3600ms, 2600ms));
        CPPUNIT_ASSERT_EQUAL(share, at(60s, 59s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleConnectionShareTest);
