#include "SidecarFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class GenerationTest : public SidecarFixture
{
    CPPUNIT_TEST_SUITE(GenerationTest);
    CPPUNIT_TEST(tokensAreNumberedAfterThePrefix);
    CPPUNIT_TEST(reattachContinuesFromAnOffset);
    CPPUNIT_TEST(streamResetKeepsTheAttempt);
    CPPUNIT_TEST(engineCutFailsAtOnce);
    CPPUNIT_TEST(silentEngineFailsAndIsCancelled);
    CPPUNIT_TEST(progressFlowsOnlyWhileTheEngineAnswers);
    CPPUNIT_TEST(staleAttemptIsRefusedAndOlderOneCancelled);
    CPPUNIT_TEST(cancelClosesTheEngineStream);
    CPPUNIT_TEST(attemptWithoutEntryIsCancelled);
    CPPUNIT_TEST(entryThatNeverAcknowledgesIsCut);
    CPPUNIT_TEST(refusalsNeverReachTheEngine);
    CPPUNIT_TEST(finalAckDropsTheJournal);
    CPPUNIT_TEST_SUITE_END();

    static SidecarSettings settings()
    {
        SidecarSettings settings;
        settings.requireConfig = false;
        settings.progressInterval = 20ms;
        settings.probeTimeout = 200ms;
        return settings;
    }

    static Attach attachFrom(std::uint64_t offset, const std::string &account = "acme")
    {
        const StartAttempt start = startMessage();
        return {start.requestId, start.attempt, account, offset, ""};
    }

    static Ack ack(std::uint64_t next, bool final)
    {
        const StartAttempt start = startMessage();
        return {start.requestId, start.attempt, next, final};
    }

public:
    // Guards against a resumed answer whose tokens are numbered from zero again.
    void tokensAreNumberedAfterThePrefix()
    {
        startSidecar(settings());
        StartAttempt start = startMessage(3);
        start.prefix = {{7, "a"}, {8, "b"}};
        start.samplingJson = R"({"temperature":0.5})";
        TestEntry entry(client(), "/generation/start", start);
        const auto accepted = entry.next<Accepted>();
        CPPUNIT_ASSERT_EQUAL(std::string("node-1"), accepted.serverId);
        CPPUNIT_ASSERT_EQUAL(incarnation, accepted.incarnation);

        const auto completion = m_engine->completion(0);
        CPPUNIT_ASSERT(completion.body["resume_token_ids"] == nlohmann::json({7, 8}));
        CPPUNIT_ASSERT_EQUAL(0.5, completion.body["temperature"].get<double>());
        CPPUNIT_ASSERT_EQUAL(100, completion.body["max_tokens"].get<int>());
        const std::string trace(completion.request.header("traceparent"));
        CPPUNIT_ASSERT_EQUAL(start.traceparent.substr(0, 36), trace.substr(0, 36));
        CPPUNIT_ASSERT(trace != start.traceparent);

        completion.sendToken(9, "c");
        completion.sendToken(10, "d");
        completion.sendFinish("stop");
        CPPUNIT_ASSERT_EQUAL(std::string("cd"), textUntil(entry, 2, 4));
        const auto finished = entry.next<Finished>();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), finished.totalTokens);
        CPPUNIT_ASSERT_EQUAL(std::string("stop"), finished.reason);
        CPPUNIT_ASSERT(m_waiting.until([&] { return m_spans.size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::string("b7ad6b7169203331"), m_spans[0].parentSpanId);
    }

    // Guards against a silent connection that costs or repeats tokens.
    void reattachContinuesFromAnOffset()
    {
        startSidecar(settings());
        TestEntry entry(client(), "/generation/start", startMessage());
        const auto completion = m_engine->completion(0);
        for (int i = 0; i < 5; ++i)
            completion.sendToken(i, std::to_string(i));
        CPPUNIT_ASSERT_EQUAL(std::string("01234"), textUntil(entry, 0, 5));

        const auto second = newClient();
        TestEntry other(*second, "/generation/attach", attachFrom(2));
        other.next<Accepted>();
        CPPUNIT_ASSERT_EQUAL(std::string("234"), textUntil(other, 2, 5));
        TestEntry thief(*second, "/generation/attach", attachFrom(0, "evil"));
        CPPUNIT_ASSERT(thief.next<Refused>().code == ErrorCode::Forbidden);

        completion.sendToken(5, "5");
        completion.sendFinish("length");
        CPPUNIT_ASSERT_EQUAL(std::string("5"), textUntil(other, 5, 6));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), other.next<Finished>().totalTokens);
        TestEntry late(*second, "/generation/attach", attachFrom(0));
        CPPUNIT_ASSERT_EQUAL(std::string("012345"), textUntil(late, 0, 6));
        CPPUNIT_ASSERT_EQUAL(std::string("length"), late.next<Finished>().reason);
    }

    // Guards against an entry's death that throws minutes of work away.
    void streamResetKeepsTheAttempt()
    {
        startSidecar(settings());
        TestEntry entry(client(), "/generation/start", startMessage());
        const auto completion = m_engine->completion(0);
        entry.reset();
        client().close();
        completion.sendToken(1, "x");
        const auto second = newClient();
        TestEntry other(*second, "/generation/attach", attachFrom(0));
        CPPUNIT_ASSERT_EQUAL(std::string("x"), textUntil(other, 0, 1));
        completion.sendToken(2, "y");
        CPPUNIT_ASSERT_EQUAL(std::string("y"), textUntil(other, 1, 2));
    }

    // Guards against a dead engine that is only noticed by a timeout.
    void engineCutFailsAtOnce()
    {
        startSidecar(settings());
        TestEntry entry(client(), "/generation/start", startMessage());
        const auto completion = m_engine->completion(0);
        completion.sendToken(1, "x");
        CPPUNIT_ASSERT_EQUAL(std::string("x"), textUntil(entry, 0, 1));
        completion.responder->abort();
        const auto failed = entry.next<Failed>();
        CPPUNIT_ASSERT(failed.code == ErrorCode::EngineFailed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), failed.nextOffset);
    }

    // Guards against a hung engine that holds the caller until its deadline.
    void silentEngineFailsAndIsCancelled()
    {
        startSidecar(settings());
        TestEntry entry(client(), "/generation/start", startMessage());
        m_engine->completion(0);
        m_engine->setHealthy(false);
        CPPUNIT_ASSERT(entry.next<Failed>().code == ErrorCode::EngineSilent);
        CPPUNIT_ASSERT(m_engine->waitForCancelled(1));
    }

    // Guards against a slow prefill that is taken for a failure.
    void progressFlowsOnlyWhileTheEngineAnswers()
    {
        startSidecar(settings());
        TestEntry entry(client(), "/generation/start", startMessage());
        const auto completion = m_engine->completion(0);
        const auto progress = entry.next<Progress>();
        CPPUNIT_ASSERT(progress.phase == Phase::Prefill);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), progress.nextOffset);
        completion.sendToken(1, "x");
        entry.next<Tokens>();
        const auto decoding = entry.next<Progress>();
        CPPUNIT_ASSERT(decoding.phase == Phase::Decode);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), decoding.nextOffset);
    }

    // Guards against two attempts of one request that both use the engine.
    void staleAttemptIsRefusedAndOlderOneCancelled()
    {
        startSidecar(settings());
        TestEntry first(client(), "/generation/start", startMessage(2));
        m_engine->completion(0);
        TestEntry stale(client(), "/generation/start", startMessage(1));
        CPPUNIT_ASSERT(stale.next<Refused>().code == ErrorCode::Stale);
        TestEntry repeated(client(), "/generation/start", startMessage(2));
        CPPUNIT_ASSERT(repeated.next<Refused>().code == ErrorCode::Stale);
        TestEntry newer(client(), "/generation/start", startMessage(3));
        newer.next<Accepted>();
        CPPUNIT_ASSERT(first.next<Failed>().code == ErrorCode::Stale);
        CPPUNIT_ASSERT(m_engine->waitForCancelled(1));
        TestEntry old(client(), "/generation/attach", attachFrom(0));
        CPPUNIT_ASSERT(old.next<Refused>().code == ErrorCode::Stale);
        m_engine->completion(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_engine->completionCount());
    }

    void cancelClosesTheEngineStream()
    {
        startSidecar(settings());
        TestEntry entry(client(), "/generation/start", startMessage());
        m_engine->completion(0);
        entry.send(Cancel {startMessage().requestId, 1, "resumed elsewhere"});
        CPPUNIT_ASSERT(entry.next<Failed>().code == ErrorCode::Closed);
        CPPUNIT_ASSERT(m_engine->waitForCancelled(1));
    }

    // Guards against an engine that computes for nobody.
    void attemptWithoutEntryIsCancelled()
    {
        auto changed = settings();
        changed.detachedTimeout = 50ms;
        startSidecar(changed);
        TestEntry entry(client(), "/generation/start", startMessage());
        m_engine->completion(0);
        entry.reset();
        CPPUNIT_ASSERT(m_engine->waitForCancelled(1));
        TestEntry late(client(), "/generation/attach", attachFrom(0));
        CPPUNIT_ASSERT(late.next<Failed>().code == ErrorCode::Closed);
    }

    // Guards against a one-way partition in which the sidecar sends into the void.
    void entryThatNeverAcknowledgesIsCut()
    {
        auto changed = settings();
        changed.ackTimeout = 100ms;
        startSidecar(changed);
        TestEntry entry(client(), "/generation/start", startMessage());
        m_engine->completion(0).sendToken(1, "x");
        CPPUNIT_ASSERT(entry.waitForClose());
        TestEntry other(client(), "/generation/attach", attachFrom(0));
        CPPUNIT_ASSERT_EQUAL(std::string("x"), textUntil(other, 0, 1));
    }

    // Guards against a "not run" that is untrue.
    void refusalsNeverReachTheEngine()
    {
        auto changed = settings();
        changed.requireConfig = true;
        changed.queueBound = 0;
        changed.capacity = 1;
        m_engine->setLoad("{}");
        startSidecar(changed);
        TestEntry early(client(), "/generation/start", startMessage());
        CPPUNIT_ASSERT(early.next<Refused>().code == ErrorCode::Unavailable);

        TestEntry config(client(), "/node/config", ConfigUpdate {5, 0, {}, 0, {}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), config.next<ConfigAck>().revision);
        config.send(ConfigUpdate {9, 8, {}, 0, {}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), config.next<ConfigAck>().revision);

        StartAttempt bad = startMessage();
        bad.samplingJson = "no JSON";
        TestEntry refused(client(), "/generation/start", bad);
        CPPUNIT_ASSERT(refused.next<Refused>().code == ErrorCode::InvalidArgument);

        TestEntry first(client(), "/generation/start", startMessage());
        first.next<Accepted>();
        StartAttempt other = startMessage();
        other.requestId = "f123456789abcdef0123456789abcdef";
        TestEntry full(client(), "/generation/start", other);
        const auto overloaded = full.next<Refused>();
        CPPUNIT_ASSERT(overloaded.code == ErrorCode::Overloaded);
        CPPUNIT_ASSERT(overloaded.retryAfterMs > 0);
        m_engine->completion(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_engine->completionCount());
    }

    void finalAckDropsTheJournal()
    {
        startSidecar(settings());
        TestEntry entry(client(), "/generation/start", startMessage());
        const auto completion = m_engine->completion(0);
        completion.sendToken(1, "x");
        completion.sendFinish("stop");
        entry.next<Finished>();
        entry.send(ack(1, true));
        bool dropped = false;
        for (int tries = 0; !dropped && tries < 1000; ++tries) {
            TestEntry late(client(), "/generation/attach", attachFrom(0));
            CPPUNIT_ASSERT(late.waitForClose());
            dropped = late.hasArrived(MessageType::Refused);
        }
        CPPUNIT_ASSERT(dropped);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GenerationTest);
