#include "ChildProcess.h"
#include "foxtailring/protocol/Accepted.h"
#include "foxtailring/protocol/Ack.h"
#include "foxtailring/protocol/Call.h"
#include "foxtailring/protocol/CallResult.h"
#include "foxtailring/protocol/Failed.h"
#include "foxtailring/protocol/Finished.h"
#include "foxtailring/protocol/Refused.h"
#include "foxtailring/protocol/StartAttempt.h"
#include "foxtailring/protocol/Tokens.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/WorkerPool.h"
#include "HttpClient.h"
#include "TemporaryFile.h"
#include "TestEntry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace foxtailring::harness;

// The sidecar program between fake backend and fake platform; the test acts as the entry.
class SidecarProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SidecarProcessTest);
    CPPUNIT_TEST(killedEngineFailsWithExactOffset);
    CPPUNIT_TEST(pausedEngineFailsAsSilent);
    CPPUNIT_TEST(terminatedSidecarFinishesItsWork);
    CPPUNIT_TEST(callRunsOnceWhenPlatformReplyIsLost);
    CPPUNIT_TEST(killedSidecarLeavesTheCallUnknown);
    CPPUNIT_TEST(invalidSettingsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_pool = std::make_unique<WorkerPool>(2); }

    void tearDown() override
    {
        m_client.reset();
        m_pool.reset();
        m_sidecar.reset();
        m_backend.reset();
        m_platform.reset();
    }

    // Guards against a resume that repeats or skips a token.
    void killedEngineFailsWithExactOffset()
    {
        startGenerations();
        TestEntry entry(*m_client, "/generation/start", startMessage());
        std::uint64_t next = entry.next<Tokens>().tokens.size();
        m_backend->kill();
        const auto failed = entry.next<Failed>();
        CPPUNIT_ASSERT(failed.code == ErrorCode::EngineFailed);
        CPPUNIT_ASSERT(failed.nextOffset >= next);
    }

    // Guards against callers that wait for a hung engine.
    void pausedEngineFailsAsSilent()
    {
        startGenerations();
        TestEntry entry(*m_client, "/generation/start", startMessage());
        entry.next<Tokens>();
        m_backend->pause();
        CPPUNIT_ASSERT(entry.next<Failed>().code == ErrorCode::EngineSilent);
        m_backend->resume();
    }

    // Guards against a graceful shutdown that interrupts a request.
    void terminatedSidecarFinishesItsWork()
    {
        startGenerations();
        StartAttempt start = startMessage();
        start.maxTokens = 60;
        TestEntry entry(*m_client, "/generation/start", start);
        entry.next<Tokens>();
        m_sidecar->terminate();
        // The sidecar may still accept attempts before it handles the signal.
        StartAttempt other = startMessage();
        other.maxTokens = 1;
        CPPUNIT_ASSERT(waitUntil([&] {
            other.attempt += 1;
            other.requestId = "f0000000000000000000000000000000";
            TestEntry late(*m_client, "/generation/start", other);
            CPPUNIT_ASSERT(late.waitForClose());
            if (late.hasArrived(MessageType::Refused))
                return late.next<Refused>().code == ErrorCode::Draining;
            late.send(Ack {other.requestId, other.attempt, 1, true});
            return false;
        }));
        const auto finished = entry.next<Finished>();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(60), finished.totalTokens);
        CPPUNIT_ASSERT(m_sidecar->isRunning());
        entry.send(Ack {start.requestId, 1, 60, true});
        CPPUNIT_ASSERT_EQUAL(0, m_sidecar->waitForExit().value_or(-1));
    }

    // Guards against a call that runs twice when the platform loses the reply to a write.
    void callRunsOnceWhenPlatformReplyIsLost()
    {
        startCalls();
        HttpClient(m_platform->port()).post("/fake/fault", {{"loseReplyNext", 1}});
        for (int i = 0; i < 3; ++i) {
            const auto result = call("k");
            CPPUNIT_ASSERT(result.outcome == Outcome::Done);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(200), result.status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), executedCalls());
        HttpClient(m_platform->port()).post("/fake/fault", {{"down", "close"}});
        CPPUNIT_ASSERT(call("k").outcome == Outcome::Done);
        CPPUNIT_ASSERT(call("new").message.starts_with("this attempt was not run"));
        CPPUNIT_ASSERT(call("").outcome == Outcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), executedCalls());
        HttpClient(m_platform->port()).post("/fake/fault", {{"down", false}});
        CPPUNIT_ASSERT(waitUntil([&] { return call("new").outcome == Outcome::Done; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), executedCalls());
    }

    // Guards against a replacement sidecar that runs a call its predecessor may have sent.
    void killedSidecarLeavesTheCallUnknown()
    {
        startCalls();
        HttpClient(m_backend->port()).post("/fake/fault", {{"hang", true}});
        TestEntry entry(*m_client, "/call", callMessage("k"));
        HttpClient platform(m_platform->port());
        CPPUNIT_ASSERT(waitUntil(
            [&] { return platform.get("/fake/stats")["revision"].get<std::int64_t>() > 1; }));
        m_sidecar->kill();
        CPPUNIT_ASSERT(entry.waitForClose());
        HttpClient(m_backend->port()).post("/fake/fault", {{"hang", false}});
        startSidecar("plain");
        const auto result = call("k");
        CPPUNIT_ASSERT(result.outcome == Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), result.status);
        CPPUNIT_ASSERT(executedCalls() <= 1);
    }

    void invalidSettingsAreRejected()
    {
        const TemporaryFile file("nodeId: n\nkind: engine\nlisten: here\nsurprise: 1\n");
        ChildProcess checked(FOXTAILRING_SIDECAR_PATH, {"--config", file.path(), "--check-config"});
        CPPUNIT_ASSERT_EQUAL(2, checked.waitForExit().value_or(-1));
    }

private:
    static StartAttempt startMessage()
    {
        StartAttempt start;
        start.requestId = "0123456789abcdef0123456789abcdef";
        start.attempt = 1;
        start.account = "acme";
        start.service = "lector";
        start.prompt = "interpret";
        start.maxTokens = 100'000;
        return start;
    }

    static Call callMessage(const std::string &key)
    {
        Call call;
        call.requestId = "0123456789abcdef0123456789abcdef";
        call.account = "acme";
        call.service = "lector";
        call.method = "POST";
        call.target = "/orders";
        call.body = "repair";
        call.idempotencyKey = key;
        call.deadlineMs = 20'000;
        return call;
    }

    void startGenerations()
    {
        m_backend = std::make_unique<ChildProcess>(FAKE_ENGINE_PATH,
                                                   std::vector<std::string> {"--token-ms", "10"});
        startSidecar("generation");
    }

    void startCalls()
    {
        m_platform =
            std::make_unique<ChildProcess>(FAKE_PLATFORM_PATH, std::vector<std::string> {});
        m_backend = std::make_unique<ChildProcess>(FAKE_SERVICE_PATH, std::vector<std::string> {});
        startSidecar("plain");
    }

    void startSidecar(const std::string &kind)
    {
        const auto address = [](ChildProcess &process) {
            return "127.0.0.1:" + std::to_string(process.port()) + '\n';
        };
        std::string text = "nodeId: node-1\nregion: r\navailabilityZone: z\nservice: lector\n"
                           "listen: 127.0.0.1:0\nadmin: 127.0.0.1:0\nrequireConfig: false\n";
        text += "kind: " + kind + "\nbackend: " + address(*m_backend);
        if (m_platform)
            text += "platform: " + address(*m_platform);
        const TemporaryFile file(text);
        m_sidecar = std::make_unique<ChildProcess>(
            FOXTAILRING_SIDECAR_PATH, std::vector<std::string> {"--config", file.path()});
        const Endpoint endpoint {"127.0.0.1", m_sidecar->port()};
        m_client = std::make_unique<Http2Client>(*m_pool, endpoint);
    }

    CallResult call(const std::string &key)
    {
        TestEntry entry(*m_client, "/call", callMessage(key));
        return entry.next<CallResult>();
    }

    std::size_t executedCalls()
    {
        return HttpClient(m_backend->port()).get("/fake/log")["calls"].size();
    }

    std::unique_ptr<ChildProcess> m_platform;
    std::unique_ptr<ChildProcess> m_backend;
    std::unique_ptr<ChildProcess> m_sidecar;
    std::unique_ptr<WorkerPool> m_pool;
    std::unique_ptr<Http2Client> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SidecarProcessTest);
