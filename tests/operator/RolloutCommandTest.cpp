#include "foxtailring/operator/RolloutCommand.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace foxtailring;
using namespace std::chrono_literals;

/// What `foxtailringctl rollout` shows of what the store holds.
class RolloutCommandTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutCommandTest);
    CPPUNIT_TEST(exitCodeTellsTheState);
    CPPUNIT_TEST(followingEndsWithTheRollout);
    CPPUNIT_TEST(followingOutlastsAStoreThatIsAway);
    CPPUNIT_TEST(followingEndsWithItsTime);
    CPPUNIT_TEST(unchangedReportIsNotRepeated);
    CPPUNIT_TEST(evidenceOfAllGatewaysIsMerged);
    CPPUNIT_TEST(evidenceOfAnotherOrderDoesNotCount);
    CPPUNIT_TEST(statusOfAnEarlierOrderIsNotShown);
    CPPUNIT_TEST(jsonIsOneObjectALine);
    CPPUNIT_TEST_SUITE_END();

    using Input = RolloutReport::Input;

    std::vector<Result<Input>> m_reads; ///< the last one is repeated
    std::size_t m_readCount = 0;
    TimePoint m_now {1h};
    std::ostringstream m_out;
    std::ostringstream m_err;

    static Input ordered()
    {
        Input input;
        input.service = "engine";
        input.order = RolloutOrder {"engine", "v2", 12s};
        input.orderRevision = {1, 10};
        return input;
    }

    static Input in(RolloutState state, double share = 0.05)
    {
        Input input = ordered();
        input.status.emplace();
        input.status->state = state;
        input.status->version = "v2";
        input.status->order = {1, 10};
        input.status->share = share;
        input.status->elapsedMs = 4100;
        input.status->newFigures = {30, 12, 1};
        input.status->reason = "good so far";
        return input;
    }

    static VersionWitness witness(std::uint64_t failures, std::int64_t order = 10)
    {
        VersionWitness out;
        out.version = "v2";
        out.order = {1, order};
        VersionRow row;
        row.failures = failures;
        row.times.record(20ms);
        out.rows[{"route", true, "a"}] = row;
        return out;
    }

    int run(std::vector<Result<Input>> reads, RolloutCommand::Options options = {})
    {
        m_reads = std::move(reads);
        m_readCount = 0;
        m_out.str("");
        m_err.str("");
        RolloutCommand::Hooks hooks;
        hooks.read = [this] { return m_reads[std::min(m_readCount++, m_reads.size() - 1)]; };
        hooks.clock = [this] { return m_now; };
        hooks.sleep = [this](Duration time) { m_now += time; };
        return RolloutCommand(options, hooks, m_out, m_err).run();
    }

    static RolloutCommand::Options following(Duration timeout = 60s)
    {
        return {true, false, timeout};
    }

    bool printed(const std::string &text) const
    {
        return m_out.str().find(text) != std::string::npos;
    }

public:
    // Guards against a script that goes on after a version that was rolled back.
    void exitCodeTellsTheState()
    {
        CPPUNIT_ASSERT_EQUAL(0, run({in(RolloutState::Completed, 1)}));
        CPPUNIT_ASSERT_EQUAL(1, run({in(RolloutState::RolledBack, 0)}));
        CPPUNIT_ASSERT(printed("state rolledBack"));
        CPPUNIT_ASSERT_EQUAL(4, run({in(RolloutState::Serving)}));
        CPPUNIT_ASSERT(printed("share 5 % since 4.1 s after the order (good so far)"));
        CPPUNIT_ASSERT_EQUAL(4, run({ordered()}));
        CPPUNIT_ASSERT(printed("state ordered"));
        CPPUNIT_ASSERT_EQUAL(2, run({Input {"engine", {}, {}, {}, {}}}));
        CPPUNIT_ASSERT_EQUAL(4, run({Error {ErrorCode::Unavailable, "refused"}}));
    }

    void followingEndsWithTheRollout()
    {
        CPPUNIT_ASSERT_EQUAL(0,
                             run({Input {"engine", {}, {}, {}, {}}, ordered(),
                                  in(RolloutState::Serving), in(RolloutState::Completed, 1)},
                                 following()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_readCount);
        CPPUNIT_ASSERT(printed("engine: no roll-out\n"));
        CPPUNIT_ASSERT(printed("v2 serving, share 5 %"));
        CPPUNIT_ASSERT(printed("v2 completed, share 100 %"));
    }

    // Guards against a script that takes an outage for a result.
    void followingOutlastsAStoreThatIsAway()
    {
        const Error away {ErrorCode::Unavailable, "connection refused"};
        CPPUNIT_ASSERT_EQUAL(
            1,
            run({in(RolloutState::Serving), away, away, in(RolloutState::RolledBack, 0)},
                following()));
        const std::string said = m_err.str();
        CPPUNIT_ASSERT(said.find("connection refused") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(said.find("refused"), said.rfind("refused"));
    }

    void followingEndsWithItsTime()
    {
        CPPUNIT_ASSERT_EQUAL(4, run({in(RolloutState::Serving)}, following(5s)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), m_readCount);
    }

    void unchangedReportIsNotRepeated()
    {
        run({in(RolloutState::Serving)}, following(5s));
        const std::string text = m_out.str();
        CPPUNIT_ASSERT_EQUAL(text.size() - 1, text.find('\n'));
    }

    void evidenceOfAllGatewaysIsMerged()
    {
        Input input = in(RolloutState::Serving);
        input.witnesses = {witness(2), witness(3)};
        input.witnesses.front().isMoved = true;
        run({input}, following(0s));
        CPPUNIT_ASSERT(printed("v2: 7 answers, 5 failed, 0 slow"));
        CPPUNIT_ASSERT(printed("1 of 2 gateways moved"));
    }

    // Guards against failures of an earlier version that are shown for the new one.
    void evidenceOfAnotherOrderDoesNotCount()
    {
        Input input = in(RolloutState::Serving);
        input.witnesses = {witness(2, 9)};
        run({input}, following(0s));
        CPPUNIT_ASSERT(printed("v2: 0 answers"));
    }

    // Guards against a roll-out that looks ended when its version was ordered once more.
    void statusOfAnEarlierOrderIsNotShown()
    {
        Input input = in(RolloutState::RolledBack, 0);
        input.orderRevision = {1, 20};
        CPPUNIT_ASSERT_EQUAL(4, run({input}));
        CPPUNIT_ASSERT(printed("state ordered"));
        input = in(RolloutState::Completed, 1);
        input.order->version = "v3";
        CPPUNIT_ASSERT_EQUAL(4, run({input}));
    }

    void jsonIsOneObjectALine()
    {
        RolloutCommand::Options options;
        options.printsJson = true;
        run({in(RolloutState::RolledBack, 0)}, options);
        const auto report = nlohmann::json::parse(m_out.str());
        CPPUNIT_ASSERT_EQUAL(std::string("rolledBack"), report["state"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(12, report["new"]["failed"].get<int>());
        CPPUNIT_ASSERT_EQUAL(12.0, report["rampSeconds"].get<double>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutCommandTest);
