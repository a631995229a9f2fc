#include "foxtailring/decisions/admission/RunAdmission.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/admission/RunClaim.h"
#include "foxtailring/decisions/servers/BackendState.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class RunAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunAdmissionTest);
    CPPUNIT_TEST(fullEngineTakesNoRun);
    CPPUNIT_TEST(engineWithoutAFreeSlotTakesNoRun);
    CPPUNIT_TEST(ownRunsCountBeforeAReportShowsThem);
    CPPUNIT_TEST(lastRoomIsLeftToUrgentRuns);
    CPPUNIT_TEST(lessUrgentRunsUseAllRoomIfNoUrgentOneCame);
    CPPUNIT_TEST(someLessUrgentRunsDoNotYield);
    CPPUNIT_TEST(largeRunNeedsNoMoreFreeRoom);
    CPPUNIT_TEST(lateRunLeavesRoomToTimelyOnes);
    CPPUNIT_TEST(accountAtTenTimesItsUsualYields);
    CPPUNIT_TEST(equalBurstOfAllAccountsMakesNoneYield);
    CPPUNIT_TEST(runWaitsForNoMorePromptsThanItsObjectiveAllows);
    CPPUNIT_TEST(refusedCallersReturnAtThePaceOfService);
    CPPUNIT_TEST(callerThatCannotBeInTimeReturnsWithinAThirdOfItsTime);
    CPPUNIT_TEST(copiesLeaveHalfOfTheMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against preempted runs, whose prompts are processed again.
    void fullEngineTakesNoRun()
    {
        learnRunSize();
        CPPUNIT_ASSERT(takes(report(64'000), claim()));
        CPPUNIT_ASSERT(!takes(report(75'000), claim()));
        BackendLoadReport waiting = report(45'000);
        waiting.waiting = 3;
        CPPUNIT_ASSERT(!takes(waiting, claim()));
    }

    void engineWithoutAFreeSlotTakesNoRun()
    {
        BackendLoadReport busy = report(20'000);
        busy.running = 12;
        CPPUNIT_ASSERT(!takes(busy, claim()));
    }

    // Reports lag: guards against several runs of one gateway at the engine that looked idle.
    void ownRunsCountBeforeAReportShowsThem()
    {
        learnRunSize();
        for (int run = 0; run < 2; ++run) {
            CPPUNIT_ASSERT(takes(report(55'000), claim()));
            m_admission.room().recordPlaced("e", 9'000, m_now);
        }
        CPPUNIT_ASSERT(!takes(report(55'000), claim()));
        m_now += 500ms;
        CPPUNIT_ASSERT(takes(report(55'000), claim()));
    }

    // A burst of the less urgent kind. Guards against the urgent one finding engines full.
    void lastRoomIsLeftToUrgentRuns()
    {
        learnRunSize();
        m_admission.recordArrival(claim(0), m_now);
        m_admission.recordArrival(claim(1), m_now);
        CPPUNIT_ASSERT(!takes(report(65'000), claim(1)));
        CPPUNIT_ASSERT(takes(report(65'000), claim(0)));
    }

    // Guards against room that nobody uses.
    void lessUrgentRunsUseAllRoomIfNoUrgentOneCame()
    {
        learnRunSize();
        for (int run = 0; run < 20; ++run)
            m_admission.recordArrival(claim(1), m_now);
        CPPUNIT_ASSERT(takes(report(64'000), claim(1)));
        m_admission.recordArrival(claim(0), m_now);
        CPPUNIT_ASSERT(takes(report(60'000), claim(1)));
    }

    // A lasting burst of the urgent kind. Guards against starvation of the other one.
    void someLessUrgentRunsDoNotYield()
    {
        int unyielding = 0;
        for (int run = 0; run < 800; ++run)
            unyielding += m_admission.drawYields() ? 0 : 1;
        CPPUNIT_ASSERT(unyielding > 60 && unyielding < 140);
        m_admission.recordArrival(claim(0), m_now);
        RunClaim lucky = claim(1);
        lucky.yields = false;
        CPPUNIT_ASSERT_EQUAL(m_admission.maxMemoryShare(claim(0), m_now),
                             m_admission.maxMemoryShare(lucky, m_now));
    }

    // Guards against large runs being the first that are refused.
    void largeRunNeedsNoMoreFreeRoom()
    {
        learnRunSize();
        RunClaim large = claim();
        large.promptTokens = 14'000;
        CPPUNIT_ASSERT(takes(report(64'000), large));
        large.promptTokens = 30'000;
        CPPUNIT_ASSERT(!takes(report(64'000), large));
        CPPUNIT_ASSERT(takes(BackendLoadReport {0, 0, 0, 0, 60'000, 88'000}, claim()));
    }

    void lateRunLeavesRoomToTimelyOnes()
    {
        learnRunSize();
        RunClaim late = claim();
        late.objectiveEnd = m_now;
        CPPUNIT_ASSERT(!takes(report(55'000), late));
        CPPUNIT_ASSERT(takes(report(55'000), claim()));
        CPPUNIT_ASSERT(takes(report(20'000), late));
    }

    // One account at ten times its usual beside nine others.
    void accountAtTenTimesItsUsualYields()
    {
        arrivals(30, 1);
        CPPUNIT_ASSERT(shareOf("a0") == shareOf("a1"));
        arrivals(5, 10);
        CPPUNIT_ASSERT(shareOf("a0") < shareOf("a1"));
    }

    void equalBurstOfAllAccountsMakesNoneYield()
    {
        arrivals(30, 1);
        for (int round = 0; round < 3; ++round)
            arrivals(1, 1);
        CPPUNIT_ASSERT(shareOf("a0") == shareOf("a1"));
    }

    // Guards against waiting at an engine while others are free.
    void runWaitsForNoMorePromptsThanItsObjectiveAllows()
    {
        learnRunSize();
        for (int run = 0; run < 20; ++run)
            m_admission.room().recordFirstEvent("s", 8'000, 0, 1'200ms);
        BackendLoadReport busy = report(10'000);
        busy.prefilling = 1;
        CPPUNIT_ASSERT(takes(busy, claim()));
        busy.waiting = 2;
        CPPUNIT_ASSERT(!takes(busy, claim()));
        RunClaim soon = claim();
        soon.objectiveEnd = m_now + 2s;
        busy.waiting = 0;
        CPPUNIT_ASSERT(!takes(busy, soon));
    }

    // Guards against all callers that were refused in a burst returning together.
    void refusedCallersReturnAtThePaceOfService()
    {
        for (int run = 0; run < 40; ++run) {
            m_admission.recordTaken(claim(), m_now);
            m_now += 250ms;
        }
        const Duration first = m_admission.recordRefused(claim(), m_now);
        const Duration second = m_admission.recordRefused(claim(), m_now);
        const Duration third = m_admission.recordRefused(claim(), m_now);
        CPPUNIT_ASSERT(first >= 250ms && first < 500ms);
        CPPUNIT_ASSERT(second - first > 200ms && second - first < 320ms);
        CPPUNIT_ASSERT(third - second > 200ms && third - second < 320ms);
    }

    void callerThatCannotBeInTimeReturnsWithinAThirdOfItsTime()
    {
        for (int caller = 0; caller < 50; ++caller) {
            RunClaim late = claim();
            late.objectiveEnd = m_now;
            const Duration after = m_admission.recordRefused(late, m_now);
            CPPUNIT_ASSERT(after >= 4s && after <= 25s / 3.0);
        }
    }

    // Guards against copies that leave no room to runs in a burst.
    void copiesLeaveHalfOfTheMemory()
    {
        BackendState holder = server();
        holder.load = report(30'000);
        CPPUNIT_ASSERT(m_admission.room().mayCopyTo(holder, 9'000, m_now));
        holder.load = report(50'000);
        CPPUNIT_ASSERT(!m_admission.room().mayCopyTo(holder, 9'000, m_now));
        holder.load.reset();
        CPPUNIT_ASSERT(m_admission.room().mayCopyTo(holder, 9'000, m_now));
        for (int engine = 0; engine < 20; ++engine)
            m_admission.room().recordReport("s", report(60'000));
        CPPUNIT_ASSERT(!m_admission.room().mayCopyTo(holder, 9'000, m_now));
    }

private:
    RunClaim claim(std::optional<std::uint32_t> urgency = std::nullopt) const
    {
        return {"s", "a1", "p", urgency, 8'000, 1'100, true, m_now + 4s, m_now + 25s};
    }

    static BackendState server()
    {
        BackendState state;
        state.info.id = "e";
        state.info.service = "s";
        state.info.slots = 12;
        return state;
    }

    static BackendLoadReport report(std::uint64_t memoryUsed)
    {
        return {3, 0, 0, 0, memoryUsed, 88'000};
    }

    void learnRunSize()
    {
        m_admission.room().recordReport("s", report(10'000));
        m_admission.room().recordRun("s", 9'100);
    }

    bool takes(const BackendLoadReport &load, const RunClaim &claim)
    {
        return m_admission.obstacleAt(server(), load, claim, m_now) == RunAdmission::Obstacle::None;
    }

    /// \brief Ten accounts send a run each second, and the first one \a factor times as many.
    void arrivals(int seconds, int factor)
    {
        for (int second = 0; second < seconds; ++second, m_now += 1s) {
            for (int account = 0; account < 10; ++account) {
                for (int run = 0; run < (account == 0 ? factor : 1); ++run)
                    arrive(account);
            }
        }
    }

    void arrive(int account)
    {
        RunClaim one = claim();
        one.account = "a" + std::to_string(account);
        one.promptId = "p" + std::to_string(++m_prompts);
        m_admission.recordArrival(one, m_now);
    }

    double shareOf(const std::string &account) const
    {
        RunClaim one = claim();
        one.account = account;
        return m_admission.maxMemoryShare(one, m_now);
    }

    TimePoint m_now {std::chrono::hours(1)};
    RandomSource m_random {5};
    RunAdmission m_admission {m_random};
    int m_prompts = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunAdmissionTest);
