#include "foxtailring/decisions/ClaimTable.h"

#include "ClaimDriver.h"
#include "foxtailring/decisions/ClaimDocument.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class ClaimTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimTableTest);
    CPPUNIT_TEST(callIsSentOnlyAfterItsClaimIsStored);
    CPPUNIT_TEST(claimsAreBatchedWithOneSwapInFlight);
    CPPUNIT_TEST(repeatedKeyIsAnsweredWithoutRunningAgain);
    CPPUNIT_TEST(otherBodyIsRefused);
    CPPUNIT_TEST(claimOfAnotherProcessIsUnknown);
    CPPUNIT_TEST(lostReplyIsReadBack);
    CPPUNIT_TEST(lateSwapCannotRunAnAbandonedCall);
    CPPUNIT_TEST(deadlineBeforeTheSwapIsRecordedAsNotRun);
    CPPUNIT_TEST(outageSaysOnlyWhatIsKnown);
    CPPUNIT_TEST(unsentCallMayBeClaimedAgain);
    CPPUNIT_TEST(freshNotRunOfAnotherProcessIsKept);
    CPPUNIT_TEST(fullBucketRefusesWithoutLosingOutcomes);
    CPPUNIT_TEST(unreadableDocumentIsNeverOverwritten);
    CPPUNIT_TEST(drainingAnswersOnlyFromMemory);
    CPPUNIT_TEST(retentionDropsOldClaims);
    CPPUNIT_TEST_SUITE_END();

    ClaimDriver m_driver {7};

    static ClaimRequest request(std::uint64_t ticket, const std::string &key,
                                const ClaimDriver &driver, const std::string &body = "b")
    {
        return {ticket, 3, key, body, driver.moment.now + 10s, true};
    }

    void submit(std::uint64_t ticket, const std::string &key, const std::string &body = "b")
    {
        m_driver.take(m_driver.table.submit(request(ticket, key, m_driver, body), m_driver.moment));
    }
    void load(std::string_view value, std::int64_t revision)
    {
        m_driver.take(m_driver.table.bucketLoaded(3, value, revision, m_driver.moment));
    }
    void swapped(std::int64_t revision)
    {
        m_driver.take(m_driver.table.swapSucceeded(3, revision, m_driver.moment));
    }
    void unavailable() { m_driver.take(m_driver.table.platformUnavailable(3, m_driver.moment)); }
    void swapUnknown() { m_driver.take(m_driver.table.swapUnknown(3, m_driver.moment)); }
    void tick(std::chrono::milliseconds time)
    {
        m_driver.advance(time);
        m_driver.take(m_driver.table.tick(m_driver.moment));
    }
    void finish(const SendCall &call)
    {
        m_driver.take(m_driver.table.callFinished(call, 200, "answer", m_driver.moment));
    }
    const AnswerCall &answer(std::uint64_t ticket) { return m_driver.answers.at(ticket); }
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
    std::int64_t now() const { return m_driver.moment.unixSeconds; }

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
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), m_driver.swaps[1].expectedRevision);
        CPPUNIT_ASSERT(lastSwap().find("acme/k")->outcome == Outcome::Done);
        swapped(6);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_driver.table.unsettled());
    }

    // Guards against one write for each claim, which the platform's service cannot take.
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
        // The least time between two swaps also holds over buckets.
        auto other = request(4, "acme/d", m_driver);
        other.bucket = 4;
        m_driver.take(m_driver.table.submit(other, m_driver.moment));
        m_driver.take(m_driver.table.bucketLoaded(4, "", 0, m_driver.moment));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_driver.swaps.size());
        CPPUNIT_ASSERT(*m_driver.table.nextTick() == m_driver.moment.now + 20ms);
        tick(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_driver.swaps.size());
    }

    // Guards against a repair order that is filed twice.
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
        other.take(other.table.submit(request(1, "acme/k", other), other.moment));
        other.take(other.table.bucketLoaded(3, m_driver.swaps.back().value, 6, other.moment));
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

    // Guards against running a call that a dead or paused process may have sent.
    void claimOfAnotherProcessIsUnknown()
    {
        submit(1, "acme/k");
        load(documentWith({"b", "8-1", 8, {}, 0, {}, now()}), 4);
        CPPUNIT_ASSERT(answer(1).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(!answer(1).mayAskAgain);
        // Later it is read again, since the other process may have recorded its outcome.
        submit(2, "acme/k");
        load(documentWith({"b", "8-1", 8, Outcome::Done, 201, "x", now()}), 5);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(201), answer(2).status);
        CPPUNIT_ASSERT(m_driver.sends.empty());
    }

    void lostReplyIsReadBack()
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

    // Guards against a swap that takes effect after its caller was told that nothing ran.
    void lateSwapCannotRunAnAbandonedCall()
    {
        submit(1, "acme/k");
        load("", 0);
        const std::string late = m_driver.swaps[0].value;
        swapUnknown();
        unavailable();
        CPPUNIT_ASSERT(answer(1).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(answer(1).mayAskAgain);
        tick(1s);
        load(late, 5);
        CPPUNIT_ASSERT(m_driver.sends.empty());
        CPPUNIT_ASSERT(lastSwap().find("acme/k")->outcome == Outcome::NotRun);
        swapped(6);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_driver.table.unsettled());
    }

    // Guards against a call that is sent after its entry has given up.
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
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_driver.sends[0].ticket);
    }

    // Guards against a "not run" that an earlier attempt elsewhere makes untrue.
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
        m_driver.take(m_driver.table.callNotSent(m_driver.sends.at(1), "refused", m_driver.moment));
        CPPUNIT_ASSERT(answer(4).outcome == Outcome::NotRun);
        submit(5, "acme/done");
        CPPUNIT_ASSERT(answer(5).outcome == Outcome::Done);
        // Its own claim keeps every other process from claiming.
        submit(6, "acme/unsent");
        CPPUNIT_ASSERT(answer(6).outcome == Outcome::NotRun);
        // Once the mark may be stored, another process may have claimed.
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
        m_driver.take(m_driver.table.callNotSent(m_driver.sends[0], "refused", m_driver.moment));
        CPPUNIT_ASSERT(answer(1).outcome == Outcome::NotRun);
        submit(2, "acme/k");
        tick(20ms);
        const std::string claim = lastSwap().find("acme/k")->claim;
        CPPUNIT_ASSERT(claim != m_driver.sends[0].claim);
        swapped(6);
        CPPUNIT_ASSERT_EQUAL(claim, m_driver.sends.at(1).claim);
        m_driver.take(m_driver.table.callLost(m_driver.sends[1], "cut", m_driver.moment));
        CPPUNIT_ASSERT(answer(2).outcome == Outcome::Unknown);
        submit(3, "acme/k");
        CPPUNIT_ASSERT(answer(3).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_driver.sends.size());
    }

    // Guards against an old attempt that runs after a newer one elsewhere was told "not run".
    void freshNotRunOfAnotherProcessIsKept()
    {
        submit(1, "acme/k");
        load(documentWith({"b", "8-1", 8, Outcome::NotRun, 0, {}, now()}), 4);
        CPPUNIT_ASSERT(answer(1).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(answer(1).mayAskAgain);
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
        driver.take(driver.table.submit(request(1, "acme/k", driver), driver.moment));
        driver.take(driver.table.bucketLoaded(3, document.toJson(), 4, driver.moment));
        const auto stripped = ClaimDocument::fromJson(driver.swaps.at(0).value).value();
        CPPUNIT_ASSERT(stripped.find("acme/old")->outcome == Outcome::Done);
        CPPUNIT_ASSERT(!stripped.find("acme/old")->answer);
        driver.take(driver.table.swapSucceeded(3, 5, driver.moment));
        driver.advance(20ms);
        for (std::uint64_t ticket = 2; ticket < 8; ++ticket)
            driver.take(driver.table.submit(
                request(ticket, "acme/k" + std::to_string(ticket), driver), driver.moment));
        driver.take(driver.table.swapSucceeded(3, 6, driver.moment));
        driver.advance(20ms);
        driver.take(driver.table.tick(driver.moment));
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

    void drainingAnswersOnlyFromMemory()
    {
        auto leaving = request(1, "acme/k", m_driver);
        leaving.mayRun = false;
        m_driver.take(m_driver.table.submit(leaving, m_driver.moment));
        CPPUNIT_ASSERT(answer(1).mayAskAgain);
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
