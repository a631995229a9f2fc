#include "foxtailring/decisions/PollPacing.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class PollPacingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PollPacingTest);
    CPPUNIT_TEST(quietPollProvesTheEndOfItsWait);
    CPPUNIT_TEST(changesProveNoMoreThanTheQuestion);
    CPPUNIT_TEST(earlyAnswerProvesNoMoreThanTheQuestion);
    CPPUNIT_TEST(busyListTakesNoMoreCallsThanAQuietOne);
    CPPUNIT_TEST(keysOutliveTheStore);
    CPPUNIT_TEST_SUITE_END();

public:
    void quietPollProvesTheEndOfItsWait()
    {
        CPPUNIT_ASSERT(m_pacing.provedUntil({m_start, Ms(1800)}, false, m_start + Ms(1805))
                       == m_start + Ms(1800));
    }

    // Guards against a key that is used longer than it may be after its withdrawal.
    void changesProveNoMoreThanTheQuestion()
    {
        CPPUNIT_ASSERT(m_pacing.provedUntil({m_start, Ms(1800)}, true, m_start + Ms(1900))
                       == m_start);
    }

    // Guards against a store, or something before it, that does not wait.
    void earlyAnswerProvesNoMoreThanTheQuestion()
    {
        CPPUNIT_ASSERT(m_pacing.provedUntil({m_start, Ms(1800)}, false, m_start + Ms(5))
                       == m_start);
    }

    // A zone that fails changes the list for seconds. Guards against a call for each change from
    // each of hundreds of processes (planoteca-norte-large: 2,256 calls on its quiet day).
    void busyListTakesNoMoreCallsThanAQuietOne()
    {
        CPPUNIT_ASSERT_EQUAL(34, callsWithin(Ms(60000), Ms(60000)));
        CPPUNIT_ASSERT(callsWithin(Ms(60000), Ms(100)) <= 40);
    }

    // Guards against callers that are refused though the store went away only a moment ago.
    void keysOutliveTheStore()
    {
        for (const Ms changeEvery : {Ms(100), Ms(350), Ms(900), Ms(1700), Ms(60000)}) {
            m_oldestProof = Duration {0};
            callsWithin(Ms(60000), changeEvery);
            CPPUNIT_ASSERT(m_oldestProof <= m_keyRevocation * 38 / 100);
        }
    }

private:
    using Ms = std::chrono::milliseconds;

    // Plays a store that answers in 5 ms and has a change every so often; returns its calls.
    int callsWithin(Ms span, Ms changeEvery)
    {
        int calls = 0;
        TimePoint now = m_start;
        TimePoint provedAt = m_start;
        while (now < m_start + span) {
            const PollPacing::Poll poll {now, m_pacing.pollWait(provedAt, now)};
            const TimePoint change = nextChange(now, changeEvery);
            const bool hasChanges = change <= now + poll.wait;
            now = std::max(now, hasChanges ? change : now + poll.wait) + Ms(5);
            ++calls;
            m_oldestProof = std::max<Duration>(m_oldestProof, now - provedAt);
            provedAt = m_pacing.provedUntil(poll, hasChanges, now);
            now += m_pacing.delayToNextPoll(hasChanges, provedAt, now);
        }
        return calls;
    }

    TimePoint nextChange(TimePoint from, Ms every) const
    {
        const auto passed = (from - m_start) / every;
        return m_start + (passed + 1) * every;
    }

    const TimePoint m_start {std::chrono::hours(1)};
    const Ms m_keyRevocation {5000};
    const PollPacing m_pacing = PollPacing::forBounds(Ms(4000), m_keyRevocation);
    Duration m_oldestProof {0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PollPacingTest);
