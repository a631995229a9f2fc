#include "foxtailring/decisions/membership/EpochAge.h"

#include "foxtailring/decisions/configuration/KeyFreshness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class EpochAgeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EpochAgeTest);
    CPPUNIT_TEST(firstReadOfALaterEpochProvesNoKeys);
    CPPUNIT_TEST(storeThatWasNeverRestoredCostsNoWait);
    CPPUNIT_TEST(changeOfTheEpochStartsAWait);
    CPPUNIT_TEST(neighbourThatKnowsTheEpochEndsTheWait);
    CPPUNIT_TEST(neighbourOfAnotherEpochEndsNoWait);
    CPPUNIT_TEST(epochIsToldOnceItIsSettled);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_start {1h};
    EpochAge m_age {2s};

public:
    // Guards against a process that starts just after a restore and accepts a revoked key.
    void firstReadOfALaterEpochProvesNoKeys()
    {
        KeyFreshness keys(5s, 100ms);
        CPPUNIT_ASSERT(m_age.recordSeen(2, m_start));
        keys.setConfirmableFrom(m_age.settledFrom());
        keys.recordConfirmation(m_start);
        keys.recordConfirmation(m_start + 1999ms);
        CPPUNIT_ASSERT(!keys.isFresh(m_start + 1999ms));
        CPPUNIT_ASSERT(!m_age.recordSeen(2, m_start + 1s));
        CPPUNIT_ASSERT(m_age.settledFrom() == m_start + 2s);
        keys.recordConfirmation(m_start + 2s);
        CPPUNIT_ASSERT(keys.isFresh(m_start + 2s));
    }

    // Guards against a new fleet that is ready 2 s late.
    void storeThatWasNeverRestoredCostsNoWait()
    {
        CPPUNIT_ASSERT(!m_age.recordSeen(EpochAge::unknownEpoch, m_start));
        CPPUNIT_ASSERT(m_age.settledFrom() <= m_start);
        CPPUNIT_ASSERT(!m_age.settledEpoch(m_start + 1h));
    }

    void changeOfTheEpochStartsAWait()
    {
        m_age.recordSeen(EpochAge::unknownEpoch, m_start);
        CPPUNIT_ASSERT(m_age.recordSeen(1, m_start + 10s));
        CPPUNIT_ASSERT(m_age.settledFrom() == m_start + 12s);
        CPPUNIT_ASSERT(m_age.recordSeen(EpochAge::unknownEpoch, m_start + 20s));
        CPPUNIT_ASSERT(m_age.settledFrom() == m_start + 22s);
    }

    // Guards against a restart in a fleet that runs, which costs 2 s each time.
    void neighbourThatKnowsTheEpochEndsTheWait()
    {
        m_age.recordSeen(2, m_start);
        CPPUNIT_ASSERT(m_age.recordSettled(2, m_start + 10ms));
        // Not a query sent before: its answer may be older than the neighbour's word.
        CPPUNIT_ASSERT(m_age.settledFrom() == m_start + 10ms);
        CPPUNIT_ASSERT(!m_age.recordSettled(2, m_start + 20ms));
        CPPUNIT_ASSERT(m_age.settledFrom() == m_start + 10ms);
    }

    // Guards against word from before the restore, which the backup holds.
    void neighbourOfAnotherEpochEndsNoWait()
    {
        CPPUNIT_ASSERT(!m_age.recordSettled(2, m_start));
        m_age.recordSeen(3, m_start);
        CPPUNIT_ASSERT(!m_age.recordSettled(2, m_start));
        CPPUNIT_ASSERT(!m_age.recordSettled(EpochAge::unknownEpoch, m_start));
        CPPUNIT_ASSERT(m_age.settledFrom() == m_start + 2s);
    }

    // Guards against a process that vouches for an epoch that it has just met.
    void epochIsToldOnceItIsSettled()
    {
        CPPUNIT_ASSERT(!m_age.settledEpoch(m_start));
        m_age.recordSeen(2, m_start);
        CPPUNIT_ASSERT(!m_age.settledEpoch(m_start + 1999ms));
        CPPUNIT_ASSERT(m_age.settledEpoch(m_start + 2s) == 2);
        m_age.recordSeen(3, m_start + 5s);
        CPPUNIT_ASSERT(!m_age.settledEpoch(m_start + 6s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EpochAgeTest);
