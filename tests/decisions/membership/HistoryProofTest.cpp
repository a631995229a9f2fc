#include "foxtailring/decisions/membership/HistoryProof.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class HistoryProofTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HistoryProofTest);
    CPPUNIT_TEST(changesAloneProveNothing);
    CPPUNIT_TEST(changesUpToTheNewestRevisionProveTheTimeOfTheQuestion);
    CPPUNIT_TEST(answerWithoutChangesProvesItsTime);
    CPPUNIT_TEST(olderTimeReplacesNoProof);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against keys that were taken away in the part of the history that is yet to be read.
    void changesAloneProveNothing()
    {
        m_proof.recordChanges(9);
        CPPUNIT_ASSERT(m_proof.provedAt() == TimePoint {});
        CPPUNIT_ASSERT(m_proof.needsNewest());
    }

    void changesUpToTheNewestRevisionProveTheTimeOfTheQuestion()
    {
        m_proof.recordChanges(9);
        m_proof.recordNewest(20, m_start);
        CPPUNIT_ASSERT(m_proof.isBehind() && m_proof.provedAt() == TimePoint {});
        m_proof.recordChanges(19);
        CPPUNIT_ASSERT(m_proof.isBehind() && m_proof.provedAt() == TimePoint {});
        m_proof.recordChanges(20);
        CPPUNIT_ASSERT(!m_proof.isBehind() && m_proof.provedAt() == m_start);
    }

    void answerWithoutChangesProvesItsTime()
    {
        m_proof.recordChanges(9);
        m_proof.recordNoChanges(9, m_start);
        CPPUNIT_ASSERT(m_proof.provedAt() == m_start);
        CPPUNIT_ASSERT(!m_proof.needsNewest());
    }

    void olderTimeReplacesNoProof()
    {
        m_proof.recordNoChanges(9, m_start);
        m_proof.recordNewest(9, m_start - std::chrono::seconds(1));
        CPPUNIT_ASSERT(m_proof.provedAt() == m_start);
    }

private:
    const TimePoint m_start {std::chrono::hours(1)};
    HistoryProof m_proof;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryProofTest);
