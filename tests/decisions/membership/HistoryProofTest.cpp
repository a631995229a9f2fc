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
    CPPUNIT_TEST(fewChangesAreAllOnlyForACurrentReader);
    CPPUNIT_TEST(fewChangesAreVerifiedNowAndThen);
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

    // Guards against a small first part of the history that counts as all of it, for a reader that
    // has started, was away, or is known to be behind.
    void fewChangesAreAllOnlyForACurrentReader()
    {
        using std::chrono::seconds;
        m_proof.recordFewChanges(9, m_start);
        CPPUNIT_ASSERT(m_proof.provedAt() == TimePoint {} && m_proof.needsNewest());
        m_proof.recordNewest(9, m_start);
        m_proof.recordFewChanges(12, m_start + seconds(2));
        CPPUNIT_ASSERT(m_proof.provedAt() == m_start + seconds(2) && !m_proof.needsNewest());
        m_proof.recordNewest(20, m_start + seconds(3));
        m_proof.recordFewChanges(15, m_start + seconds(4));
        CPPUNIT_ASSERT(m_proof.provedAt() == m_start + seconds(2) && m_proof.needsNewest());
        m_proof.recordFewChanges(20, m_start + seconds(9));
        CPPUNIT_ASSERT(m_proof.provedAt() == m_start + seconds(3) && m_proof.needsNewest());
    }

    // Guards against a store with smaller answers than is known, whose parts all look whole.
    void fewChangesAreVerifiedNowAndThen()
    {
        m_proof.recordNoChanges(1, m_start);
        TimePoint at = m_start;
        int answers = 0;
        while (!m_proof.needsNewest() && answers < 100) {
            at += std::chrono::seconds(1);
            m_proof.recordFewChanges(++answers + 1, at);
        }
        CPPUNIT_ASSERT_EQUAL(5, answers);
        CPPUNIT_ASSERT(m_proof.provedAt() == at - std::chrono::seconds(1));
    }

private:
    const TimePoint m_start {std::chrono::hours(1)};
    HistoryProof m_proof;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryProofTest);
