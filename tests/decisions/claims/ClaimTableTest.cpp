#include "foxtailring/decisions/claims/ClaimTable.h"

#include "ClaimDriver.h"
#include "foxtailring/decisions/claims/ClaimDocument.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class ClaimTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimTableTest);
    CPPUNIT_TEST(callIsSentOnlyAfterItsClaimIsStored);
    CPPUNIT_TEST(restoredBucketGetsTheLostClaimsBack);
    CPPUNIT_TEST(claimMadeAfterARestoreIsKept);
    CPPUNIT_TEST(claimsAreBatchedWithOneSwapInFlight);
    CPPUNIT_TEST(repeatedKeyIsAnsweredWithoutRunningAgain);
    CPPUNIT_TEST(otherBodyIsRefused);
    CPPUNIT_TEST(claimOfAnotherProcessIsUnknown);
    CPPUNIT_TEST(unknownSwapIsReadBack);
    CPPUNIT_TEST(lateSwapCannotRunAnAbandonedCall);
    CPPUNIT_TEST(deadlineBeforeTheSwapIsRecordedAsNotRun);
    CPPUNIT_TEST(outageSaysOnlyWhatIsKnown);
    CPPUNIT_TEST(unsentCallMayBeClaimedAgain);
    CPPUNIT_TEST(recentNotRunOfAnotherProcessIsKept);
    CPPUNIT_TEST(fullBucketRefusesWithoutLosingOutcomes);
    CPPUNIT_TEST(unreadableDocumentIsNeverOverwritten);
    CPPUNIT_TEST(callThatMayNotRunIsAnsweredFromMemory);
    CPPUNIT_TEST(retentionDropsOldClaims);
    CPPUNIT_TEST_SUITE_END();

    ClaimDriver m_driver {7};

    static ClaimRequest request(std::uint64_t callId, const std::string &key,
                                const ClaimDriver &driver, const std::string &body = "b")
    {
        return {callId, 3, key, body, driver.now.monotonic + 10s, true};
    }

    void submit(std::uint64_t callId, const std::string &key, const std::string &body = "b")
    {
        m_driver.collect(m_driver.table.submit(request(callId, key, m_driver, body), m_driver.now));
    }
    void load(std::string_view value, std::int64_t revision, std::int64_t epoch = 0)
    {
        m_driver.collect(m_driver.table.onBucketLoaded(3, value, {epoch, revision}, m_driver.now));
    }
    void swapped(std::int64_t revision, std::int64_t epoch = 0)
    {
        m_driver.collect(m_driver.table.onSwapSucceeded(3, {epoch, revision}, m_driver.now));
    }
    void unavailable() { m_driver.collect(m_driver.table.onPlatformUnavailable(3, m_driver.now)); }
    void swapUnknown() { m_driver.collect(m_driver.table.onSwapUnknown(3, m_driver.now)); }
    void tick(std::chrono::milliseconds time)
    {
        m_driver.advance(time);
        m_driver.collect(m_driver.table.tick(m_driver.now));
    }
    void finish(const SendCall &call)
    {
        m_driver.collect(m_driver.table.onCallFinished(call, 200, "answer", m_driver.now));
    }
    /// The claim of \a key and then its outcome are stored in epoch 1, the latter at \a revision.
    void storeOutcome(const std::string &key, std::int64_t revision)
    {
        submit(1, key);
        load("", 0, 1);
        swapped(5, 1);
        finish(m_driver.sends[0]);
        tick(20ms);
        swapped(revision, 1);
    }
    const AnswerCall &answer(std::uint64_t callId) { return m_driver.answers.at(callId); }
    ClaimDocument lastSwap() const
    {
        return ClaimDocument::fromJson(m_driver.swaps.back().value).value();
    }
    std::string documentWith(const ClaimRecord &record) const
    {
        ClaimDocument document;
        document.set("acme/k", record);
        return document.toJson();
    }
    std::int64_t now() const { return m_driver.now.unixSeconds; }

public:
    void callIsSentOnlyAfterItsClaimIsStored()
    {
        submit(1, "acme/k");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_driver.reads.size());
        load("", 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_driver.swaps.size());
        CPPUNIT_ASSERT(m_driver.sends.empty());
        swapped(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_driver.sends.size());
        finish(m_driver.sends[0]);
        CPPUNIT_ASSERT(answer(1).outcome == Outcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), *answer(1).answer);
        tick(20ms);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), m_driver.swaps[1].expectedRevision.number);
        CPPUNIT_ASSERT(lastSwap().find("acme/k")->outcome == Outcome::Done);
        swapped(6);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_driver.table.pendingClaims());
    }

    // Guards against calls that are refused until a restored store has passed the old revision, and
    // against a call that runs again because its claim was lost with the store.
    void restoredBucketGetsTheLostClaimsBack()
    {
        storeOutcome("acme/k", 9);
        submit(2, "acme/new");
        tick(20ms);
        load("", 3, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_driver.answers.count(2));
        tick(20ms);
        CPPUNIT_ASSERT((m_driver.swaps.back().expectedRevision == StoreRevision {2, 3}));
        CPPUNIT_ASSERT(lastSwap().find("acme/k")->outcome == Outcome::Done);
        swapped(4, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_driver.sends.size());
        finish(m_driver.sends[1]);
        tick(20ms);
        swapped(5, 2);
        const std::size_t swaps = m_driver.swaps.size();
        submit(3, "acme/k");
        tick(1s);
        CPPUNIT_ASSERT(answer(3).outcome == Outcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_driver.sends.size());
        CPPUNIT_ASSERT_EQUAL(swaps, m_driver.swaps.size());
    }

    // Guards against a lost claim that replaces one which another process made after the restore.
    void claimMadeAfterARestoreIsKept()
    {
        storeOutcome("acme/k", 6);
        m_driver.advance(5s);
        submit(2, "acme/new");
        load(documentWith({"b", "other-1", 9, Outcome::Done, 201, "later", now()}), 3, 2);
        tick(20ms);
        CPPUNIT_ASSERT_EQUAL(std::string("other-1"), lastSwap().find("acme/k")->claimId);
    }

    // Guards against one write per claim, which would overload the platform's key-value service.
    void claimsAreBatchedWithOneSwapInFlight()
    {
        submit(1, "acme/a");
        load("", 0);
        submit(2, "acme/b");
        submit(3, "acme/c");
        tick(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_driver.swaps.size());
        swapped(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_driver.swaps.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), lastSwap().size());
        swapped(6);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_driver.sends.size());
        // The minimum interval between swaps applies across buckets.
        auto other = request(4, "acme/d", m_driver);
        other.bucket = 4;
        m_driver.collect(m_driver.table.submit(other, m_driver.now));
        m_driver.collect(m_driver.table.onBucketLoaded(4, "", {}, m_driver.now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_driver.swaps.size());
        CPPUNIT_ASSERT(*m_driver.table.nextTick() == m_driver.now.monotonic + 20ms);
        tick(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_driver.swaps.size());
    }

    // Guards against a call that runs twice because its caller retried it.
    void repeatedKeyIsAnsweredWithoutRunningAgain()
    {
        submit(1, "acme/k");
        load("", 0);
        swapped(5);
        submit(2, "acme/k");
        finish(m_driver.sends[0]);
        CPPUNIT_ASSERT(answer(2).outcome == Outcome::Done);
        submit(3, "acme/k");
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), *answer(3).answer);
        tick(20ms);
        swapped(6);
        submit(4, "acme/k");
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), *answer(4).answer);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_driver.sends.size());

        ClaimDriver other {8};
        other.collect(other.table.submit(request(1, "acme/k", other), other.now));
        other.collect(
            other.table.onBucketLoaded(3, m_driver.swaps.back().value, {0, 6}, other.now));
        CPPUNIT_ASSERT(other.answers.at(1).outcome == Outcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(200), other.answers.at(1).status);
        CPPUNIT_ASSERT(other.swaps.empty());
    }

    void otherBodyIsRefused()
    {
        submit(1, "acme/k");
        load("", 0);
        submit(2, "acme/k", "other");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(409), answer(2).status);
        swapped(5);
        finish(m_driver.sends[0]);
        tick(20ms);
        swapped(6);
        submit(3, "acme/k", "other");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(409), answer(3).status);
        CPPUNIT_ASSERT(answer(3).outcome == Outcome::Unknown);
    }

    // Guards against sending a call that a crashed or paused process may have sent.
    void claimOfAnotherProcessIsUnknown()
    {
        submit(1, "acme/k");
        load(documentWith({"b", "8-1", 8, {}, 0, {}, now()}), 4);
        CPPUNIT_ASSERT(answer(1).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(!answer(1).mayRetry);
        // A later call reads the bucket again: the other process may have stored the outcome.
        submit(2, "acme/k");
        load(documentWith({"b", "8-1", 8, Outcome::Done, 201, "x", now()}), 5);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(201), answer(2).status);
        CPPUNIT_ASSERT(m_driver.sends.empty());
    }

    void unknownSwapIsReadBack()
    {
        submit(1, "acme/k");
        load("", 0);
        const std::string written = m_driver.swaps[0].value;
        swapUnknown();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_driver.reads.size());
        load(written, 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_driver.sends.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_driver.swaps.size());
    }

    // Guards against sending a call when its claim is stored only after its caller was told that
    // this attempt was not run.
    void lateSwapCannotRunAnAbandonedCall()
    {
        submit(1, "acme/k");
        load("", 0);
        const std::string late = m_driver.swaps[0].value;
        swapUnknown();
        unavailable();
        CPPUNIT_ASSERT(answer(1).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(answer(1).mayRetry);
        tick(1s);
        load(late, 5);
        CPPUNIT_ASSERT(m_driver.sends.empty());
        CPPUNIT_ASSERT(lastSwap().find("acme/k")->outcome == Outcome::NotRun);
        swapped(6);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_driver.table.pendingClaims());
    }

    // Guards against sending a call after its entry stopped waiting.
    void deadlineBeforeTheSwapIsRecordedAsNotRun()
    {
        submit(1, "acme/k");
        load("", 0);
        tick(10s);
        CPPUNIT_ASSERT(answer(1).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(answer(1).message.starts_with("this attempt was not run"));
        swapped(5);
        CPPUNIT_ASSERT(m_driver.sends.empty());
        CPPUNIT_ASSERT(lastSwap().find("acme/k")->outcome == Outcome::NotRun);
        swapped(6);
        submit(2, "acme/k");
        tick(20ms);
        swapped(7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_driver.sends.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_driver.sends[0].callId);
    }

    // Guards against a NotRun result that is untrue because another process ran an earlier call.
    void outageSaysOnlyWhatIsKnown()
    {
        submit(1, "acme/new");
        unavailable();
        CPPUNIT_ASSERT(answer(1).outcome == Outcome::Unknown);
        submit(2, "acme/new");
        CPPUNIT_ASSERT(answer(2).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_driver.reads.size());

        tick(1s);
        submit(3, "acme/done");
        submit(4, "acme/unsent");
        load("", 0);
        swapped(5);
        finish(m_driver.sends.at(0));
        tick(20ms);
        unavailable();
        m_driver.collect(
            m_driver.table.onCallNotSent(m_driver.sends.at(1), "refused", m_driver.now));
        CPPUNIT_ASSERT(answer(4).outcome == Outcome::NotRun);
        submit(5, "acme/done");
        CPPUNIT_ASSERT(answer(5).outcome == Outcome::Done);
        // The stored claim of this process keeps other processes from claiming the key.
        submit(6, "acme/unsent");
        CPPUNIT_ASSERT(answer(6).outcome == Outcome::NotRun);
        // Once NotRun may be stored, another process may have claimed the key.
        tick(1s);
        swapUnknown();
        unavailable();
        submit(7, "acme/unsent");
        CPPUNIT_ASSERT(answer(7).outcome == Outcome::Unknown);
    }

    void unsentCallMayBeClaimedAgain()
    {
        submit(1, "acme/k");
        load("", 0);
        swapped(5);
        m_driver.collect(m_driver.table.onCallNotSent(m_driver.sends[0], "refused", m_driver.now));
        CPPUNIT_ASSERT(answer(1).outcome == Outcome::NotRun);
        submit(2, "acme/k");
        tick(20ms);
        const std::string claimId = lastSwap().find("acme/k")->claimId;
        CPPUNIT_ASSERT(claimId != m_driver.sends[0].claimId);
        swapped(6);
        CPPUNIT_ASSERT_EQUAL(claimId, m_driver.sends.at(1).claimId);
        m_driver.collect(m_driver.table.onCallLost(m_driver.sends[1], "cut", m_driver.now));
        CPPUNIT_ASSERT(answer(2).outcome == Outcome::Unknown);
        submit(3, "acme/k");
        CPPUNIT_ASSERT(answer(3).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_driver.sends.size());
    }

    // Guards against running an old call after the caller of a newer one got NotRun from another
    // process.
    void recentNotRunOfAnotherProcessIsKept()
    {
        submit(1, "acme/k");
        load(documentWith({"b", "8-1", 8, Outcome::NotRun, 0, {}, now()}), 4);
        CPPUNIT_ASSERT(answer(1).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(answer(1).mayRetry);
        m_driver.advance(5s);
        submit(2, "acme/k");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_driver.swaps.size());
        swapped(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_driver.sends.size());
    }

    void fullBucketRefusesWithoutLosingOutcomes()
    {
        ClaimLimits limits;
        limits.maxDocumentBytes = 350;
        ClaimDriver driver {7, limits};
        ClaimDocument document;
        document.set("acme/old", {"b", "8-1", 8, Outcome::Done, 200, std::string(200, 'x'), now()});
        driver.collect(driver.table.submit(request(1, "acme/k", driver), driver.now));
        driver.collect(driver.table.onBucketLoaded(3, document.toJson(), {0, 4}, driver.now));
        const auto stripped = ClaimDocument::fromJson(driver.swaps.at(0).value).value();
        CPPUNIT_ASSERT(stripped.find("acme/old")->outcome == Outcome::Done);
        CPPUNIT_ASSERT(!stripped.find("acme/old")->answer);
        driver.collect(driver.table.onSwapSucceeded(3, {0, 5}, driver.now));
        driver.advance(20ms);
        for (std::uint64_t callId = 2; callId < 8; ++callId)
            driver.collect(driver.table.submit(
                request(callId, "acme/k" + std::to_string(callId), driver), driver.now));
        driver.collect(driver.table.onSwapSucceeded(3, {0, 6}, driver.now));
        driver.advance(20ms);
        driver.collect(driver.table.tick(driver.now));
        CPPUNIT_ASSERT(driver.answers.at(7).message.find("full") != std::string::npos);
        CPPUNIT_ASSERT(driver.answers.at(7).outcome == Outcome::Unknown);
    }

    void unreadableDocumentIsNeverOverwritten()
    {
        submit(1, "acme/k");
        load("{\"claims\":7", 4);
        CPPUNIT_ASSERT(answer(1).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(m_driver.swaps.empty());
    }

    void callThatMayNotRunIsAnsweredFromMemory()
    {
        auto leaving = request(1, "acme/k", m_driver);
        leaving.mayRun = false;
        m_driver.collect(m_driver.table.submit(leaving, m_driver.now));
        CPPUNIT_ASSERT(answer(1).mayRetry);
        CPPUNIT_ASSERT(m_driver.reads.empty());
    }

    void retentionDropsOldClaims()
    {
        submit(1, "acme/new");
        ClaimDocument document;
        document.set("acme/old", {"b", "8-1", 8, Outcome::Done, 200, "x", now() - 86'400});
        document.set("acme/young", {"b", "8-2", 8, Outcome::Done, 200, "x", now() - 86'399});
        load(document.toJson(), 4);
        CPPUNIT_ASSERT(!lastSwap().find("acme/old"));
        CPPUNIT_ASSERT(lastSwap().find("acme/young"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimTableTest);
