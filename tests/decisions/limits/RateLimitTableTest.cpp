#include "foxtailring/decisions/limits/RateLimitTable.h"
#include "foxtailring/decisions/limits/RateApportionment.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>
#include <vector>

using namespace foxtailring;

class RateLimitTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateLimitTableTest);
    CPPUNIT_TEST(requestsBeforeTheLimitCount);
    CPPUNIT_TEST(shareAppliesOnceOthersKnowIt);
    CPPUNIT_TEST(garbledLimitChangesNothing);
    CPPUNIT_TEST(extremeLimitsAreUsable);
    CPPUNIT_TEST(answerToAnEarlierRequestDoesNotEndTheLimit);
    CPPUNIT_TEST(limitEndsWhenAnotherProcessReportsIt);
    CPPUNIT_TEST(limitWithoutEvidenceExpires);
    CPPUNIT_TEST(shareIsReducedWithoutWordFromTheStore);
    CPPUNIT_TEST(restartedProcessKnowsTheLimitFromReports);
    CPPUNIT_TEST(restartedProcessKeepsItsEntries);
    CPPUNIT_TEST(refusalKnowsWhenARequestIsFree);
    CPPUNIT_TEST(nothingIsReportedWithoutALimit);
    CPPUNIT_TEST(reportIsRepeatedWhenItWasLost);
    CPPUNIT_TEST(reportsAreKeptWhenARestoredStoreHasLostThem);
    CPPUNIT_TEST(reportsOfUnknownProcessesInARestoredStoreCount);
    CPPUNIT_TEST(ownReportInARestoredStoreIsNoNews);
    CPPUNIT_TEST(reportNotWrittenAgainAfterARestoreIsDropped);
    CPPUNIT_TEST(sharesAddUpToTheTotal);
    CPPUNIT_TEST_SUITE_END();

    using Ms = std::chrono::milliseconds;

public:
    // Guards against a server that gets its full rate on top of what it got just before.
    void requestsBeforeTheLimitCount()
    {
        for (int i = 0; i < 40; ++i)
            CPPUNIT_ASSERT(tryAt(Ms(i * 50)));
        name(8);
        CPPUNIT_ASSERT(!tryAt(Ms(2100)));
        CPPUNIT_ASSERT(!tryAt(Ms(5900)));
        CPPUNIT_ASSERT(tryAt(Ms(6100)));
    }

    // Guards against a process that uses a share before the others have given it up.
    void shareAppliesOnceOthersKnowIt()
    {
        name(8);
        publish();
        CPPUNIT_ASSERT_EQUAL(1U, quota());
        CPPUNIT_ASSERT(!explain().isShareKnown || explain().processes == 1);
        advance(Ms(3900));
        CPPUNIT_ASSERT_EQUAL(1U, quota());
        advance(Ms(200));
        CPPUNIT_ASSERT_EQUAL(32U, quota());
        putReport("other", 8, 8);
        CPPUNIT_ASSERT(quota() < 32);
    }

    void garbledLimitChangesNothing()
    {
        BackendAnswer garbled = answer();
        garbled.namesRateLimit = true;
        m_table.recordAnswer("s", garbled, m_now, m_now);
        CPPUNIT_ASSERT(!m_table.isLimited("s"));
        name(8);
        m_table.recordAnswer("s", garbled, m_now + Ms(10), m_now + Ms(20));
        CPPUNIT_ASSERT(m_table.isLimited("s"));
    }

    void extremeLimitsAreUsable()
    {
        for (const double limit : {0.0, 1e-9, 1e300, std::numeric_limits<double>::max()}) {
            name(limit);
            CPPUNIT_ASSERT(explain().window >= std::chrono::seconds(4));
            CPPUNIT_ASSERT(explain().window <= std::chrono::seconds(31));
            tryAt(Ms(1));
        }
    }

    void answerToAnEarlierRequestDoesNotEndTheLimit()
    {
        advance(Ms(100));
        name(8);
        m_table.recordAnswer("s", answer(), m_now - Ms(50), m_now + Ms(10));
        CPPUNIT_ASSERT(m_table.isLimited("s"));
        m_table.recordAnswer("s", answer(), m_now + Ms(20), m_now + Ms(50));
        CPPUNIT_ASSERT(!m_table.isLimited("s"));
    }

    // Guards against a process without a share, which gets no answer that shows the end.
    void limitEndsWhenAnotherProcessReportsIt()
    {
        name(8);
        putReport("other", 8, 1);
        m_table.applyReports(std::vector<RateLimitReportChange> {{"other", RateLimitReport {}}},
                             m_now);
        // The report may be older than the answer.
        CPPUNIT_ASSERT(m_table.isLimited("s"));
        advance(Ms(2600));
        m_table.expire(m_now);
        CPPUNIT_ASSERT(!m_table.isLimited("s"));
    }

    void limitWithoutEvidenceExpires()
    {
        name(8);
        advance(std::chrono::seconds(15));
        m_table.expire(m_now);
        CPPUNIT_ASSERT(m_table.isLimited("s"));
        advance(std::chrono::seconds(2));
        m_table.expire(m_now);
        CPPUNIT_ASSERT(!m_table.isLimited("s"));
    }

    // Guards against a gateway that is cut off and goes on with a share that the others have taken.
    void shareIsReducedWithoutWordFromTheStore()
    {
        name(8);
        publish();
        advance(Ms(4100));
        CPPUNIT_ASSERT_EQUAL(32U, quota());
        m_now += std::chrono::seconds(7);
        CPPUNIT_ASSERT_EQUAL(1U, quota());
        CPPUNIT_ASSERT(!explain().isShareKnown);
    }

    void restartedProcessKnowsTheLimitFromReports()
    {
        putReport("other", 8, 1);
        CPPUNIT_ASSERT(m_table.isLimited("s"));
        CPPUNIT_ASSERT_EQUAL(8.0, explain().limit);
        CPPUNIT_ASSERT_EQUAL(0U, quota());
    }

    // Guards against a restarted process whose first report lacks a server that is still limited:
    // the others take that for the end of the limit.
    void restartedProcessKeepsItsEntries()
    {
        putReport("own", 8, 4);
        CPPUNIT_ASSERT(m_table.isLimited("s"));
        tryServer("other");
        BackendAnswer limited = answer();
        limited.namesRateLimit = true;
        limited.rateLimit = 2;
        m_table.recordAnswer("other", limited, m_now, m_now);
        const auto report = m_table.takeDueReport(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, report.value().entries.size());
    }

    void refusalKnowsWhenARequestIsFree()
    {
        name(8);
        CPPUNIT_ASSERT(tryAt(Ms(100)));
        CPPUNIT_ASSERT(!tryAt(Ms(200)));
        CPPUNIT_ASSERT(m_table.freeAt("s", m_now + Ms(200)) == m_now + Ms(4100));
    }

    // Guards against gateways that each take the whole limit while the others' reports are missing.
    void reportsAreKeptWhenARestoredStoreHasLostThem()
    {
        name(8);
        publish();
        putReport("other", 8, 1);
        advance(Ms(4100));
        const std::uint32_t shared = quota();
        m_table.onStoreRestored({}, m_now);
        CPPUNIT_ASSERT(m_table.takeDueReport(m_now).has_value());
        advance(std::chrono::seconds(5));
        m_table.expire(m_now);
        CPPUNIT_ASSERT_EQUAL(shared, quota());
        CPPUNIT_ASSERT(shared < 32);
    }

    // Guards against a share that leaves out a process whose first report was written after the
    // restore, but before this process read the store.
    void reportsOfUnknownProcessesInARestoredStoreCount()
    {
        name(8);
        publish();
        putReport("known", 8, 4);
        const RateLimitReport written {{{"s", 8, 4}}};
        const RateLimitReport old {{{"t", 8, 4}}};
        m_table.onStoreRestored(
            std::vector<RateLimitReportChange> {{"new", written}, {"known", old}, {"own", old}},
            m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, explain().processes);
        CPPUNIT_ASSERT(!m_table.isLimited("t"));
    }

    // An old report of this process, which has published none since.
    void ownReportInARestoredStoreIsNoNews()
    {
        const RateLimitReport old {{{"s", 8, 4}}};
        m_table.onStoreRestored(std::vector<RateLimitReportChange> {{"own", old}}, m_now);
        CPPUNIT_ASSERT(!m_table.isLimited("s"));
    }

    void reportNotWrittenAgainAfterARestoreIsDropped()
    {
        name(8);
        publish();
        putReport("ended", 8, 1);
        putReport("other", 8, 1);
        m_table.onStoreRestored({}, m_now);
        advance(Ms(1100));
        publish();
        for (int i = 0; i < 8; ++i) {
            advance(std::chrono::seconds(4));
            name(8);
            putReport("other", 8, 1);
            m_table.expire(m_now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, explain().processes);
    }

    void nothingIsReportedWithoutALimit()
    {
        for (int i = 0; i < 40; ++i)
            tryAt(Ms(i * 50));
        advance(std::chrono::seconds(3));
        CPPUNIT_ASSERT(!m_table.takeDueReport(m_now));
        CPPUNIT_ASSERT(!m_table.hasReport());
    }

    void reportIsRepeatedWhenItWasLost()
    {
        name(8);
        CPPUNIT_ASSERT(m_table.takeDueReport(m_now).has_value());
        advance(Ms(1100));
        CPPUNIT_ASSERT(!m_table.takeDueReport(m_now));
        m_table.onReportNotPublished();
        CPPUNIT_ASSERT(m_table.takeDueReport(m_now).has_value());
    }

    void sharesAddUpToTheTotal()
    {
        const std::vector<RateApportionment::Sharer> sharers {
            {"a", 1}, {"b", 1}, {"c", 1}, {"d", 0}, {"e", 16}};
        for (const std::uint32_t total : {0U, 1U, 2U, 7U, 33U}) {
            std::uint32_t sum = 0;
            for (const auto &sharer : sharers)
                sum += RateApportionment::shareOf(sharer.id, total, "s", sharers);
            CPPUNIT_ASSERT_EQUAL(total, sum);
        }
        CPPUNIT_ASSERT_EQUAL(0U, RateApportionment::shareOf("x", 9, "s", sharers));
        CPPUNIT_ASSERT_EQUAL(0U, RateApportionment::shareOf("d", 9, "s", sharers));
    }

private:
    static BackendAnswer answer()
    {
        BackendAnswer one;
        one.status = 200;
        one.isSigned = true;
        return one;
    }

    bool tryAt(Duration offset) { return m_table.tryAcquire("s", m_now + offset); }

    bool tryServer(const std::string &id) { return m_table.tryAcquire(id, m_now); }

    void name(double limit)
    {
        BackendAnswer limited = answer();
        limited.namesRateLimit = true;
        limited.rateLimit = limit;
        m_table.recordAnswer("s", limited, m_now, m_now);
    }

    // While the store answers.
    void advance(Duration duration)
    {
        m_now += duration;
        m_table.recordConfirmation(m_now);
    }

    void publish()
    {
        const auto report = m_table.takeDueReport(m_now);
        CPPUNIT_ASSERT(report.has_value());
        m_table.recordConfirmation(m_now);
        m_table.applyReports(std::vector<RateLimitReportChange> {{"own", *report}}, m_now);
    }

    void putReport(const std::string &processId, double limit, double demand)
    {
        const RateLimitReport report {{{"s", limit, demand}}};
        m_table.applyReports(std::vector<RateLimitReportChange> {{processId, report}}, m_now);
        m_table.recordConfirmation(m_now);
    }

    RateLimitExplanation explain() { return m_table.explain("s", m_now).value(); }
    std::uint32_t quota() { return explain().quota; }

    TimePoint m_now {std::chrono::hours(1)};
    RateLimitTable m_table {{"own", Ms(2500)}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTableTest);
