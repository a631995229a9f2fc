#include "foxtailring/decisions/membership/FleetMembership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace foxtailring;
using namespace std::chrono_literals;

class FleetMembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetMembershipTest);
    CPPUNIT_TEST(countsTheLargestFleetUntilTheListIsKnown);
    CPPUNIT_TEST(listOfARestoredStoreIsNotTheFleet);
    CPPUNIT_TEST(countsItselfBeforeItIsListed);
    CPPUNIT_TEST(delistedProcessCountsForAWhile);
    CPPUNIT_TEST(processThatReturnsIsNotForgotten);
    CPPUNIT_TEST(eachDelistedProcessIsForgottenInItsTurn);
    CPPUNIT_TEST(snapshotDelistsThoseThatItLacks);
    CPPUNIT_TEST(demandCountsAsLongAsItsProcess);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now {1h};
    FleetMembership m_fleet {"g1"};

    void replace(const std::vector<std::string> &ids, TimePoint now) { m_fleet.replace(ids, now); }

public:
    // Guards against a process that takes a whole limit before it has read anything.
    void countsTheLargestFleetUntilTheListIsKnown()
    {
        m_fleet.put("g2");
        CPPUNIT_ASSERT_EQUAL(std::size_t {350}, m_fleet.size());
    }

    // Guards against a process that takes the whole limit since a restore has ended all leases.
    void listOfARestoredStoreIsNotTheFleet()
    {
        m_fleet.distrustList(m_now + 5s);
        replace({"g1"}, m_now);
        m_fleet.expire(m_now + 4999ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t {350}, m_fleet.size());
        CPPUNIT_ASSERT(!m_fleet.isKnown() && !m_fleet.owns("part"));
        m_fleet.expire(m_now + 5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, m_fleet.size());
        m_fleet.distrustList(m_now + 10s);
        m_fleet.trustList();
        CPPUNIT_ASSERT(m_fleet.isKnown() && m_fleet.owns("part"));
    }

    void countsItselfBeforeItIsListed()
    {
        replace({"g2", "g3"}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, m_fleet.size());
        CPPUNIT_ASSERT(!m_fleet.isListed("g1"));
        m_fleet.put("g1");
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, m_fleet.size());
        CPPUNIT_ASSERT(m_fleet.isListed("g1"));
    }

    // Guards against shares that grow while the fleet only lost its leases.
    void delistedProcessCountsForAWhile()
    {
        replace({"g1", "g2", "g3"}, m_now);
        m_fleet.remove("g1", m_now);
        m_fleet.remove("g2", m_now);
        m_fleet.remove("g2", m_now + 20s);
        m_fleet.remove("unknown", m_now);
        m_fleet.expire(m_now + 30s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, m_fleet.size());
        CPPUNIT_ASSERT(!m_fleet.isListed("g2"));
        m_fleet.expire(m_now + 31s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, m_fleet.size());
    }

    void processThatReturnsIsNotForgotten()
    {
        replace({"g2"}, m_now);
        m_fleet.remove("g2", m_now);
        m_fleet.put("g2");
        m_fleet.expire(m_now + 31s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, m_fleet.size());
    }

    // Guards against processes that count for ever because the first delisted one was forgotten, or
    // was listed again.
    void eachDelistedProcessIsForgottenInItsTurn()
    {
        replace({"g2", "g3", "g4", "g5"}, m_now);
        m_fleet.remove("g2", m_now);
        m_fleet.remove("g3", m_now + 10s);
        m_fleet.remove("g4", m_now + 20s);
        m_fleet.put("g2");
        m_fleet.expire(m_now + 31s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {5}, m_fleet.size());
        m_fleet.expire(m_now + 41s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {4}, m_fleet.size());
        m_fleet.expire(m_now + 51s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, m_fleet.size());
    }

    void snapshotDelistsThoseThatItLacks()
    {
        replace({"g1", "g2", "g3"}, m_now);
        replace({"g3"}, m_now + 1s);
        CPPUNIT_ASSERT(!m_fleet.isListed("g1"));
        CPPUNIT_ASSERT(!m_fleet.isListed("g2"));
        m_fleet.expire(m_now + 40s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, m_fleet.size());
    }

    // Guards against others that take the share of a process that only lost its lease.
    void demandCountsAsLongAsItsProcess()
    {
        replace({"g1", "g2"}, m_now);
        m_fleet.setDemand("g1", 4);
        m_fleet.setDemand("g2", 5);
        m_fleet.setDemand("unknown", 6);
        replace({}, m_now);
        CPPUNIT_ASSERT(!m_fleet.ownDemand());
        CPPUNIT_ASSERT(m_fleet.otherDemands() == IdleConnectionDivision::Counts({{5, 1}}));
        m_fleet.put("g1");
        CPPUNIT_ASSERT(m_fleet.ownDemand() == 4);
        m_fleet.expire(m_now + 31s);
        CPPUNIT_ASSERT(m_fleet.otherDemands().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMembershipTest);
