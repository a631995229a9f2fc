#include "ChildProcess.h"
#include "HttpClient.h"
#include "SseStream.h"
#include "TemporaryFile.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>

using namespace foxtailring;
using namespace foxtailring::harness;
using nlohmann::json;

// The fake engine behind the fault proxy: faults that the other process tests rely on.
class FakeProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FakeProcessTest);
    CPPUNIT_TEST(truncatedStreamBreaksAndIsResumed);
    CPPUNIT_TEST(silentConnectionStaysOpenWhileNewOnesWork);
    CPPUNIT_TEST(frozenRouteLosesNothing);
    CPPUNIT_TEST(droppedDirectionStaysDropped);
    CPPUNIT_TEST(refusedAndCutConnectionsFailAtOnce);
    CPPUNIT_TEST(crashedEngineResetsItsStream);
    CPPUNIT_TEST(pausedEngineContinues);
    CPPUNIT_TEST(hungEngineAnswersOnlyItsControl);
    CPPUNIT_TEST(terminatedProgramsExitCleanly);
    CPPUNIT_TEST(programThatDoesNotListenIsReported);
    CPPUNIT_TEST(settingsFileIsRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_engine = std::make_unique<ChildProcess>(
            FAKE_ENGINE_PATH, std::vector<std::string> {"--token-ms", "2", "--vary"});
        const std::string target = "127.0.0.1:" + std::to_string(m_engine->port());
        m_proxy = std::make_unique<ChildProcess>(
            FAULT_PROXY_PATH, std::vector<std::string> {"--route", "engine@127.0.0.1:0=" + target});
    }

    void tearDown() override
    {
        m_proxy.reset();
        m_engine.reset();
    }

    // Guards against a truncated stream that looks complete, and against a resume that starts over.
    void truncatedStreamBreaksAndIsResumed()
    {
        setRouteFault({{"truncateAfter", 2000}});
        const auto prefix =
            readIds(*stream({{"max_tokens", longAnswerTokens}}), SseStream::End::Broken);
        CPPUNIT_ASSERT(!prefix.empty() && prefix.size() < longAnswerTokens);
        setRouteFault({{"truncateAfter", nullptr}});
        const std::size_t whole = prefix.size() + 5;
        const auto rest = readIds(*stream({{"max_tokens", whole}, {"resume_token_ids", prefix}}),
                                  SseStream::End::Finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), rest.size());
        CPPUNIT_ASSERT_EQUAL(prefix.back() + 1, rest.front());
        CPPUNIT_ASSERT(waitUntil([&] { return engineStat("cancelled") == 1; }));
    }

    // Guards against a proxy that closes the silent connection, which callers would detect at once.
    void silentConnectionStaysOpenWhileNewOnesWork()
    {
        const auto silent = stream({{"max_tokens", longAnswerTokens}});
        CPPUNIT_ASSERT(silent->next());
        setRouteFault({{"silentExisting", true}});
        CPPUNIT_ASSERT(waitUntil([&] { return routeStat("swallowedBytes") > 0; }));
        while (silent->next(shortTimeout)) { }
        CPPUNIT_ASSERT(silent->end() == SseStream::End::Open);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(3), readIds(*stream({{"max_tokens", 3}}), SseStream::End::Finished).size());
        HttpClient(m_proxy->port()).post("/fake/reset", json::object());
        CPPUNIT_ASSERT(!silent->next());
        CPPUNIT_ASSERT(silent->end() == SseStream::End::Broken);
    }

    void frozenRouteLosesNothing()
    {
        const auto frozen = stream({{"max_tokens", 200}});
        setRouteFault({{"freeze", true}});
        CPPUNIT_ASSERT(waitUntil([&] { return engineStat("finished") == 1; }));
        setRouteFault({{"freeze", false}, {"delayMs", 1}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(200), readIds(*frozen, SseStream::End::Finished).size());
    }

    // Guards against a stream that continues after lost bytes, which TCP never delivers.
    void droppedDirectionStaysDropped()
    {
        const auto dropped = stream({{"max_tokens", longAnswerTokens}});
        setRouteFault({{"oneWay", "to-client"}});
        CPPUNIT_ASSERT(waitUntil([&] { return routeStat("swallowedBytes") > 0; }));
        setRouteFault({{"oneWay", nullptr}});
        while (dropped->next(shortTimeout)) { }
        CPPUNIT_ASSERT(dropped->end() == SseStream::End::Open);
    }

    void refusedAndCutConnectionsFailAtOnce()
    {
        const auto cut = stream({{"max_tokens", longAnswerTokens}});
        setRouteFault({{"cut", true}, {"refuse", true}});
        while (cut->next()) { }
        CPPUNIT_ASSERT(cut->end() == SseStream::End::Broken);
        const auto refused = HttpClient(m_proxy->port("engine")).send({"GET", "/health", {}, {}});
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT(refused.error().code == ErrorCode::Unavailable);
        setRouteFault({{"refuse", false}});
        HttpClient(m_proxy->port("engine")).get("/health");
    }

    void crashedEngineResetsItsStream()
    {
        HttpClient(m_engine->port()).post("/fake/fault", {{"crashAfterTokens", 4}});
        const auto ids =
            readIds(*stream({{"max_tokens", longAnswerTokens}}), SseStream::End::Broken);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), ids.size());
        CPPUNIT_ASSERT(m_engine->waitForExit().has_value());
    }

    void pausedEngineContinues()
    {
        const auto paused = stream({{"max_tokens", 100}});
        m_engine->pause();
        const auto probe =
            HttpClient(m_engine->port()).send({"GET", "/health", {}, {}}, shortTimeout);
        CPPUNIT_ASSERT(!probe && probe.error().code == ErrorCode::Timeout);
        m_engine->resume();
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), readIds(*paused, SseStream::End::Finished).size());
    }

    void hungEngineAnswersOnlyItsControl()
    {
        const HttpClient engine(m_engine->port());
        engine.post("/fake/fault", {{"hang", true}});
        const auto probe = engine.send({"GET", "/health", {}, {}}, shortTimeout);
        CPPUNIT_ASSERT(!probe && probe.error().code == ErrorCode::Timeout);
        engine.post("/fake/fault", {{"hang", false}});
        engine.get("/health");
    }

    void terminatedProgramsExitCleanly()
    {
        ChildProcess service(FAKE_SERVICE_PATH, {});
        ChildProcess platform(FAKE_PLATFORM_PATH, {});
        for (ChildProcess *program : {&service, &platform, m_proxy.get(), m_engine.get()}) {
            CPPUNIT_ASSERT(program->port() != 0);
            program->terminate();
            CPPUNIT_ASSERT_EQUAL(0, program->waitForExit().value_or(-1));
        }
    }

    // Guards against a test that waits for the full timeout after a failed start.
    void programThatDoesNotListenIsReported()
    {
        ChildProcess broken(FAKE_ENGINE_PATH, {"--listen", "127.0.0.1:not-a-port"});
        CPPUNIT_ASSERT_THROW(broken.port(), std::runtime_error);
        CPPUNIT_ASSERT_EQUAL(1, broken.waitForExit().value_or(0));
    }

    void settingsFileIsRemoved()
    {
        std::string path;
        {
            const TemporaryFile file("zone: a\n");
            path = file.path();
            std::string line;
            CPPUNIT_ASSERT(std::getline(std::ifstream(path), line));
            CPPUNIT_ASSERT_EQUAL(std::string("zone: a"), line);
        }
        CPPUNIT_ASSERT(!std::ifstream(path).is_open());
    }

private:
    // More tokens than any of these tests reads.
    static constexpr std::size_t longAnswerTokens = 100'000;
    // For reads that are expected to time out.
    static constexpr std::chrono::milliseconds shortTimeout {200};

    std::unique_ptr<SseStream> stream(json body)
    {
        body["prompt"] = "condition of the reach";
        body["stream"] = true;
        return std::make_unique<SseStream>(m_proxy->port("engine"),
                                           HttpCall {"POST", "/v1/completions", {}, body.dump()});
    }

    // Token ids up to the end of the stream; asserts that it ended as \a expected.
    static std::vector<std::int64_t> readIds(SseStream &stream, SseStream::End expected)
    {
        std::vector<std::int64_t> ids;
        while (const auto event = stream.next()) {
            if (event->data == "[DONE]")
                continue;
            const json chunk = json::parse(event->data);
            for (const json &id : chunk["choices"][0]["token_ids"])
                ids.push_back(id.get<std::int64_t>());
        }
        CPPUNIT_ASSERT(stream.end() == expected);
        return ids;
    }

    void setRouteFault(const json &faults)
    {
        HttpClient(m_proxy->port()).post("/fake/routes/engine", faults);
    }

    std::int64_t engineStat(const char *name)
    {
        return HttpClient(m_engine->port()).get("/fake/stats")[name].get<std::int64_t>();
    }

    std::int64_t routeStat(const char *name)
    {
        const json stats = HttpClient(m_proxy->port()).get("/fake/stats");
        return stats["routes"]["engine"][name].get<std::int64_t>();
    }

    std::unique_ptr<ChildProcess> m_engine;
    std::unique_ptr<ChildProcess> m_proxy;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeProcessTest);
