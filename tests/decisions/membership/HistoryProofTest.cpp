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
    CPPUNIT_TEST(changeBesideTheQuestionIsNoDelay);
    CPPUNIT_TEST(lateAnswerToTheQuestionShowsWhoIsBehind);
    CPPUNIT_TEST(oneLargeValueIsNoFirstPart);
    CPPUNIT_TEST(ownWritesVerify);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against keys that were taken away in the part of the history that is yet to be read.
    void changesAloneProveNothing()
    {
        m_proof.recordChanges(9, m_start, true);
        CPPUNIT_ASSERT(m_proof.provedAt() == TimePoint {});
        CPPUNIT_ASSERT(m_proof.needsNewest());
    }

    void changesUpToTheNewestRevisionProveTheTimeOfTheQuestion()
    {
        m_proof.recordChanges(9, m_start, true);
        recordNewest(20, m_start);
        CPPUNIT_ASSERT(m_proof.isBehind() && m_proof.provedAt() == TimePoint {});
        m_proof.recordChanges(19, m_start, true);
        CPPUNIT_ASSERT(m_proof.isBehind() && m_proof.provedAt() == TimePoint {});
        m_proof.recordChanges(20, m_start, true);
        CPPUNIT_ASSERT(!m_proof.isBehind() && m_proof.provedAt() == m_start);
    }

    void answerWithoutChangesProvesItsTime()
    {
        m_proof.recordChanges(9, m_start, true);
        m_proof.recordNoChanges(9, m_start);
        CPPUNIT_ASSERT(m_proof.provedAt() == m_start);
        CPPUNIT_ASSERT(!m_proof.needsNewest());
    }

    void olderTimeReplacesNoProof()
    {
        m_proof.recordNoChanges(9, m_start);
        recordNewest(9, m_start - std::chrono::seconds(1));
        CPPUNIT_ASSERT(m_proof.provedAt() == m_start);
    }

    // Guards against a small first part of the history that counts as all of it, for a reader that
    // has started, was away, or is known to be behind.
    void fewChangesAreAllOnlyForACurrentReader()
    {
        using std::chrono::seconds;
        m_proof.recordFewChanges(9, m_start);
        CPPUNIT_ASSERT(m_proof.provedAt() == TimePoint {} && m_proof.needsNewest());
        recordNewest(9, m_start);
        m_proof.recordFewChanges(12, m_start + seconds(2));
        CPPUNIT_ASSERT(m_proof.provedAt() == m_start + seconds(2) && !m_proof.needsNewest());
        recordNewest(20, m_start + seconds(3));
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
        CPPUNIT_ASSERT_EQUAL(4, answers);
        const TimePoint next = at + std::chrono::seconds(1);
        m_proof.recordFewChanges(6, next);
        CPPUNIT_ASSERT(m_proof.provedAt() == at && m_proof.needsNewest());
        m_proof.recordNewest(6, next, next);
        CPPUNIT_ASSERT(m_proof.provedAt() == next && !m_proof.needsNewest());
    }

    // Guards against reads of the state, and a poll at once, for a change between two answers
    // (104 of 2,352 calls of a quiet day).
    void changeBesideTheQuestionIsNoDelay()
    {
        m_proof.recordNoChanges(1, m_start);
        const TimePoint asked = m_start + std::chrono::seconds(1);
        m_proof.recordNewest(5, asked, asked + m_roundTrip);
        m_proof.recordFewChanges(4, asked);
        CPPUNIT_ASSERT(!m_proof.isBehind() && !m_proof.needsNewest());
        m_proof.recordFewChanges(4, asked + m_roundTrip);
        CPPUNIT_ASSERT(m_proof.isBehind() && m_proof.provedAt() == m_start);
    }

    // Guards against a small first part that counts as all because the question beside it was
    // answered later than the poll.
    void lateAnswerToTheQuestionShowsWhoIsBehind()
    {
        m_proof.recordFewChanges(6, m_start);
        m_proof.recordFewChanges(7, m_start + m_roundTrip);
        m_proof.recordNewest(9, m_start + m_roundTrip, m_start + 3 * m_roundTrip);
        CPPUNIT_ASSERT(m_proof.isBehind() && m_proof.needsNewest());
        CPPUNIT_ASSERT(m_proof.provedAt() == TimePoint {});
    }

    // Guards against a second read of a large configuration, with all keys, because a server was
    // listed just after it (23 of 33 gateways, 8 MB more).
    void oneLargeValueIsNoFirstPart()
    {
        m_proof.recordNoChanges(1, m_start);
        const TimePoint asked = m_start + std::chrono::seconds(1);
        m_proof.recordChanges(4, asked, false);
        CPPUNIT_ASSERT(m_proof.needsNewest() && m_proof.provedAt() == m_start);
        recordNewest(5, asked + m_roundTrip);
        CPPUNIT_ASSERT(!m_proof.isBehind());
        m_proof.recordChanges(6, asked + 2 * m_roundTrip, false);
        CPPUNIT_ASSERT(!m_proof.isBehind() && m_proof.provedAt() == asked + m_roundTrip);
        recordNewest(8, asked + 3 * m_roundTrip);
        m_proof.recordChanges(7, asked + 4 * m_roundTrip, false);
        CPPUNIT_ASSERT(m_proof.isBehind());
    }

    // The revision of a write, or of a read for another reason, saves the question.
    void ownWritesVerify()
    {
        m_proof.recordNoChanges(1, m_start);
        TimePoint at = m_start;
        for (int answer = 1; answer <= 40; ++answer) {
            at += std::chrono::seconds(1);
            if (answer % 4 == 0)
                m_proof.recordNewest(answer + 1, at - m_roundTrip, at);
            m_proof.recordFewChanges(answer + 1, at);
            CPPUNIT_ASSERT(!m_proof.needsNewest() && m_proof.provedAt() >= at - m_roundTrip);
        }
    }

private:
    void recordNewest(std::int64_t revision, TimePoint at)
    {
        m_proof.recordNewest(revision, at, at);
    }

    const TimePoint m_start {std::chrono::hours(1)};
    const std::chrono::milliseconds m_roundTrip {5};
    HistoryProof m_proof;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryProofTest);
