#include "foxtailring/decisions/membership/PollPacing.h"

#include "foxtailring/decisions/membership/HistoryProof.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class PollPacingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PollPacingTest);
    CPPUNIT_TEST(answerWithoutChangesConfirmsTheEndOfTheWait);
    CPPUNIT_TEST(earlyAnswerConfirmsTheTimeOfThePoll);
    CPPUNIT_TEST(frequentChangesTakeNoMoreCalls);
    CPPUNIT_TEST(keysStayUsableWhenTheStoreFails);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerWithoutChangesConfirmsTheEndOfTheWait()
    {
        CPPUNIT_ASSERT(m_pacing.confirmedUntil({m_start, Ms(1800)}, m_start + Ms(1805))
                       == m_start + Ms(1800));
    }

    // Guards against trusting a store, or a proxy in front of it, that answers before the wait
    // ends.
    void earlyAnswerConfirmsTheTimeOfThePoll()
    {
        CPPUNIT_ASSERT(m_pacing.confirmedUntil({m_start, Ms(1800)}, m_start + Ms(5)) == m_start);
    }

    // While a zone fails, the list changes for seconds. Guards against one call per change from
    // each of hundreds of processes (2,256 calls on a quiet day).
    void frequentChangesTakeNoMoreCalls()
    {
        CPPUNIT_ASSERT_EQUAL(33, countCalls(Ms(60000), Ms(60000)));
        CPPUNIT_ASSERT(countCalls(Ms(60000), Ms(100)) <= 35);
    }

    // Guards against refusing callers although the store became unreachable only a moment ago.
    void keysStayUsableWhenTheStoreFails()
    {
        for (const Ms changeInterval : {Ms(100), Ms(350), Ms(900), Ms(1700), Ms(60000)}) {
            m_maxConfirmationAge = Duration {0};
            countCalls(Ms(60000), changeInterval);
            CPPUNIT_ASSERT(m_maxConfirmationAge <= m_keyRevocation * 38 / 100);
        }
    }

private:
    using Ms = std::chrono::milliseconds;

    // Simulates a store that answers in 5 ms and has a change every \a changeInterval; returns the
    // number of polls.
    int countCalls(Ms span, Ms changeInterval)
    {
        int calls = 0;
        TimePoint now = m_start;
        HistoryProof proof;
        proof.recordNoChanges(1, m_start);
        TimePoint confirmedAt = m_start;
        TimePoint readUntil = m_start;
        while (now < m_start + span) {
            const PollPacing::Poll poll {now, m_pacing.pollWait(confirmedAt, now)};
            const TimePoint change = nextChange(readUntil, changeInterval);
            const bool hasChanges = change <= now + poll.wait;
            readUntil = std::max(now, hasChanges ? change : now + poll.wait);
            now = readUntil + Ms(5);
            ++calls;
            m_maxConfirmationAge = std::max<Duration>(m_maxConfirmationAge, now - confirmedAt);
            if (proof.needsNewest())
                proof.recordNewest(calls, poll.sentAt, now);
            if (hasChanges)
                proof.recordChanges(calls, poll.sentAt, true);
            else
                proof.recordNoChanges(calls, m_pacing.confirmedUntil(poll, now));
            confirmedAt = proof.provedAt();
            now = m_pacing.nextPollAt(hasChanges, confirmedAt, now);
        }
        return calls;
    }

    TimePoint nextChange(TimePoint from, Ms interval) const
    {
        const auto intervals = (from - m_start) / interval;
        return m_start + (intervals + 1) * interval;
    }

    const TimePoint m_start {std::chrono::hours(1)};
    const Ms m_keyRevocation {5000};
    const PollPacing m_pacing = PollPacing::forBounds(Ms(4000), m_keyRevocation);
    Duration m_maxConfirmationAge {0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PollPacingTest);
