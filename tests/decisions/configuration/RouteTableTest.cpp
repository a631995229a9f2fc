#include "foxtailring/decisions/configuration/RouteTable.h"
#include "foxtailring/decisions/admission/DrainAdmission.h"
#include "foxtailring/decisions/configuration/KeyFreshness.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(hostIsComparedWithoutCaseAndPort);
    CPPUNIT_TEST(keysIdentifyTheirAccount);
    CPPUNIT_TEST(urgencyIsThatOfTheAccountAndThenOfTheRoute);
    CPPUNIT_TEST(accountsAloneDoNotRankRoutes);
    CPPUNIT_TEST(equalRunsHaveNoUrgency);
    CPPUNIT_TEST(keysExpireWithoutConfirmation);
    CPPUNIT_TEST(restoredStoreConfirmsNoKeysUntilRevocationsAreBack);
    CPPUNIT_TEST(oldConfirmationDoesNotReplaceANewOne);
    CPPUNIT_TEST(drainingProcessRefusesLateStreams);
    CPPUNIT_TEST(drainingProcessLimitsTheTimeOfCalls);
    CPPUNIT_TEST_SUITE_END();

public:
    void longestPrefixWins()
    {
        const RouteTable table(config());
        CPPUNIT_ASSERT_EQUAL(std::string("inner"), table.route("h.example", "/a/b/c")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("outer"), table.route("h.example", "/a/bc")->name);
        CPPUNIT_ASSERT(!table.route("h.example", "/a"));
        CPPUNIT_ASSERT(!table.route("other.example", "/a/b/c"));
    }

    void hostIsComparedWithoutCaseAndPort()
    {
        const RouteTable table(config());
        CPPUNIT_ASSERT(table.route("H.Example:8080", "/a/x"));
    }

    void keysIdentifyTheirAccount()
    {
        const RouteTable table(config());
        CPPUNIT_ASSERT_EQUAL(std::string("crew"), table.account("k2")->name);
        CPPUNIT_ASSERT(!table.account("k3"));
        CPPUNIT_ASSERT(!table.account(""));
    }

    // Guards against one kind of runs that is served worse than a less urgent one.
    void urgencyIsThatOfTheAccountAndThenOfTheRoute()
    {
        const RouteTable table(runConfig(0, 2, {0, 1, std::nullopt}));
        const HttpRoute &first = table.config().routes[0];
        const HttpRoute &second = table.config().routes[1];
        CPPUNIT_ASSERT_EQUAL(0U, table.urgency(first, "k0").value());
        CPPUNIT_ASSERT_EQUAL(1U, table.urgency(second, "k0").value());
        CPPUNIT_ASSERT_EQUAL(2U, table.urgency(first, "k1").value());
        CPPUNIT_ASSERT_EQUAL(3U, table.urgency(second, "k1").value());
        CPPUNIT_ASSERT_EQUAL(0U, table.urgency(first, "k2").value());
        CPPUNIT_ASSERT_EQUAL(4U, table.urgency(second, "k2").value());
    }

    // Guards against runs that wait for room where no configuration ranks them: a deployment whose
    // accounts alone have priorities is served as before.
    void accountsAloneDoNotRankRoutes()
    {
        const RouteTable ranked(runConfig(0, 2, {0, 1}));
        CPPUNIT_ASSERT(ranked.hasRankedRoutes(ranked.config().routes[1]));
        const RouteTable equal(runConfig(1, 1, {0, 1, std::nullopt}));
        CPPUNIT_ASSERT(!equal.hasRankedRoutes(equal.config().routes[0]));
    }

    void equalRunsHaveNoUrgency()
    {
        const RouteTable table(runConfig(1, 1, {std::nullopt, 1}));
        CPPUNIT_ASSERT(!table.urgency(table.config().routes[0], "k0"));
        CPPUNIT_ASSERT(!table.urgency(table.config().routes[1], "k1"));
    }

    // Guards against accepting a revoked key while the store is unreachable.
    void keysExpireWithoutConfirmation()
    {
        KeyFreshness keys(std::chrono::seconds(5), std::chrono::seconds(1));
        const TimePoint start {std::chrono::hours(1)};
        CPPUNIT_ASSERT(!keys.isFresh(start));
        keys.recordConfirmation(start);
        CPPUNIT_ASSERT(keys.isFresh(start + std::chrono::milliseconds(3999)));
        CPPUNIT_ASSERT(!keys.isFresh(start + std::chrono::milliseconds(4000)));
    }

    // Guards against accepting a key whose revocation was lost with the store's latest writes.
    void restoredStoreConfirmsNoKeysUntilRevocationsAreBack()
    {
        KeyFreshness keys(std::chrono::seconds(5), std::chrono::seconds(1));
        const TimePoint start {std::chrono::hours(1)};
        keys.recordConfirmation(start);
        const TimePoint restored = start + std::chrono::seconds(1);
        keys.setConfirmableFrom(restored + std::chrono::seconds(2));
        keys.recordConfirmation(restored + std::chrono::milliseconds(1999));
        CPPUNIT_ASSERT(keys.isFresh(start + std::chrono::milliseconds(3999)));
        CPPUNIT_ASSERT(!keys.isFresh(start + std::chrono::milliseconds(4000)));
        keys.recordConfirmation(restored + std::chrono::seconds(2));
        CPPUNIT_ASSERT(keys.isFresh(start + std::chrono::milliseconds(4000)));
    }

    void oldConfirmationDoesNotReplaceANewOne()
    {
        KeyFreshness keys(std::chrono::seconds(5), std::chrono::seconds(1));
        const TimePoint start {std::chrono::hours(1)};
        keys.recordConfirmation(start + std::chrono::seconds(3));
        keys.recordConfirmation(start);
        CPPUNIT_ASSERT(keys.isFresh(start + std::chrono::seconds(6)));
    }

    // Guards against streams that are cut off when the process exits.
    void drainingProcessRefusesLateStreams()
    {
        const TimePoint start {std::chrono::hours(1)};
        DrainAdmission admission;
        const auto accepts = [&](CallKind kind, Duration age) {
            return admission.accepts({kind, std::chrono::seconds(25), {}, {}}, start + age);
        };
        CPPUNIT_ASSERT(accepts(CallKind::Stream, Duration {0}));
        admission.begin(start);
        CPPUNIT_ASSERT(accepts(CallKind::Stream, std::chrono::milliseconds(500)));
        CPPUNIT_ASSERT(!accepts(CallKind::Stream, std::chrono::seconds(2)));
        CPPUNIT_ASSERT(accepts(CallKind::NonIdempotent, std::chrono::seconds(2)));
        CPPUNIT_ASSERT(!accepts(CallKind::Idempotent, std::chrono::seconds(6)));
    }

    // Guards against calls that are still open when the process exits.
    void drainingProcessLimitsTheTimeOfCalls()
    {
        const TimePoint start {std::chrono::hours(1)};
        DrainAdmission admission;
        CPPUNIT_ASSERT(!admission.timeLimit(start));
        admission.begin(start, start + std::chrono::seconds(7));
        admission.begin(start + std::chrono::seconds(1), TimePoint::max());
        CPPUNIT_ASSERT(admission.timeLimit(start + std::chrono::seconds(4))
                       == std::chrono::seconds(3));
        CPPUNIT_ASSERT(admission.timeLimit(start + std::chrono::seconds(8)) == Duration::zero());
    }

private:
    /// \brief Two routes of runs of one service, and accounts with these priorities.
    static RouteConfig runConfig(std::uint32_t first, std::uint32_t second,
                                 const std::vector<std::optional<std::uint32_t>> &accounts)
    {
        RouteConfig out;
        for (const std::uint32_t priority : {first, second}) {
            HttpRoute one;
            one.kind = CallKind::Stream;
            one.priority = priority;
            one.targets = {{"engine", 1}};
            out.routes.push_back(one);
        }
        out.hasAccounts = true;
        for (const auto &priority : accounts) {
            const std::string number = std::to_string(out.accounts.size());
            out.accounts.push_back({"a" + number, priority, {"k" + number}});
        }
        return out;
    }

    static RouteConfig config()
    {
        RouteConfig out;
        HttpRoute outer;
        outer.name = "outer";
        outer.host = "h.example";
        outer.pathPrefix = "/a/";
        HttpRoute inner = outer;
        inner.name = "inner";
        inner.pathPrefix = "/a/b/";
        out.routes = {outer, inner};
        out.accounts = {{"crew", std::nullopt, {"k1", "k2"}}};
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);
