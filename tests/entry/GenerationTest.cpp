#include "EntryFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace foxtailring;
using namespace foxtailring::test;
using Fault = FakeSidecar::Fault;

class GenerationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GenerationTest);
    CPPUNIT_TEST(wholeAnswer);
    CPPUNIT_TEST(streamedAnswer);
    CPPUNIT_TEST(chatAnswer);
    CPPUNIT_TEST(cutStreamGoesOnFromTheJournal);
    CPPUNIT_TEST(failedEngineIsResumedWithTheExactPrefix);
    CPPUNIT_TEST(silentSidecarIsResumedElsewhere);
    CPPUNIT_TEST(deadSidecarIsResumedElsewhere);
    CPPUNIT_TEST(refusedByAllIsNotRun);
    CPPUNIT_TEST_SUITE_END();

    static std::string body(bool stream)
    {
        return std::string(R"({"model":"m","prompt":"p","max_tokens":20,"stream":)")
            + (stream ? "true}" : "false}");
    }

    static std::size_t starts(EntryFixture &fixture)
    {
        return fixture.sidecar(0).starts.size() + fixture.sidecar(1).starts.size();
    }

    /// Makes the sidecar that gets the first attempt fail, and only that one.
    static std::size_t failFirst(EntryFixture &fixture, FakeSidecar::Script script,
                                 std::shared_ptr<SseReader> &reader)
    {
        fixture.setScripts(script);
        reader = fixture.stream(body(true));
        CPPUNIT_ASSERT(reader->waitForTokens(script.faultAt));
        const std::size_t first = fixture.sidecar(0).starts.empty() ? 1 : 0;
        fixture.sidecar(1 - first).setScript({});
        return first;
    }

public:
    void wholeAnswer()
    {
        EntryFixture fixture(1);
        const auto response = fixture.post("/v1/completions", body(false));
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        const auto json = nlohmann::json::parse(response.body);
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer("p1", 20),
                             json["choices"][0]["text"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("length"),
                             json["choices"][0]["finish_reason"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(20, json["usage"]["completion_tokens"].get<int>());
        // Guards against journals that are kept though the answer was delivered.
        CPPUNIT_ASSERT(fixture.sidecar(0).wait([&] {
            return !fixture.sidecar(0).acks.empty() && fixture.sidecar(0).acks.back().final;
        }));
    }

    void streamedAnswer()
    {
        EntryFixture fixture(1);
        const auto reader = fixture.stream(body(true));
        CPPUNIT_ASSERT(reader->waitForEnd());
        CPPUNIT_ASSERT_EQUAL(200, reader->status());
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer("p1", 20), reader->text());
        CPPUNIT_ASSERT(reader->isDone());
        CPPUNIT_ASSERT(!reader->wasCut());
    }

    void chatAnswer()
    {
        EntryFixture fixture(1);
        const auto response = fixture.post(
            "/v1/chat/completions",
            R"({"model":"ad","messages":[{"role":"system","content":"s"},)"
            R"({"role":"user","content":[{"type":"text","text":"u"}]}],"max_tokens":2})");
        const auto json = nlohmann::json::parse(response.body);
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer("p1", 2),
                             json["choices"][0]["message"]["content"].get<std::string>());
        const StartAttempt &start = fixture.sidecar(0).starts.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("system: s\nuser: u\nassistant:"), start.prompt);
        CPPUNIT_ASSERT_EQUAL(std::string("m"), start.model);
        CPPUNIT_ASSERT_EQUAL(std::string("ad"), start.adapter);
    }

    // Guards against computing again what the sidecar still has.
    void cutStreamGoesOnFromTheJournal()
    {
        EntryFixture fixture(1);
        fixture.sidecar(0).setScript({Fault::Cut, 7});
        const auto reader = fixture.stream(body(true));
        CPPUNIT_ASSERT(reader->waitForTokens(7));
        fixture.sidecar(0).cutStreams();
        CPPUNIT_ASSERT(reader->waitForEnd());
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer("p1", 20), reader->text());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), fixture.sidecar(0).attaches.at(0).fromOffset);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.sidecar(0).starts.size());
    }

    // Guards against an answer that mixes two generations.
    void failedEngineIsResumedWithTheExactPrefix()
    {
        EntryFixture fixture;
        std::shared_ptr<SseReader> reader;
        FakeSidecar::Script script {Fault::Cut, 7};
        const std::size_t first = failFirst(fixture, script, reader);
        fixture.sidecar(first).setScript({Fault::None, 0, true});
        fixture.sidecar(first).cutStreams();
        CPPUNIT_ASSERT(reader->waitForEnd());
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer(fixture.sidecar(first).id() + "1", 20),
                             reader->text());
        const StartAttempt &second = fixture.sidecar(1 - first).starts.at(0);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), second.attempt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), second.prefix.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts(fixture));
    }

    void silentSidecarIsResumedElsewhere()
    {
        EntryFixture fixture;
        std::shared_ptr<SseReader> reader;
        const std::size_t first = failFirst(fixture, {Fault::Silent, 7, false, true}, reader);
        CPPUNIT_ASSERT(reader->waitForEnd());
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer(fixture.sidecar(first).id() + "1", 20),
                             reader->text());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.sidecar(first).attaches.size());
        CPPUNIT_ASSERT(
            fixture.sidecar(first).wait([&] { return !fixture.sidecar(first).cancels.empty(); }));
    }

    void deadSidecarIsResumedElsewhere()
    {
        EntryFixture fixture;
        std::shared_ptr<SseReader> reader;
        const std::size_t first = failFirst(fixture, {Fault::Silent, 7}, reader);
        fixture.sidecar(first).die();
        CPPUNIT_ASSERT(reader->waitForEnd());
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer(fixture.sidecar(first).id() + "1", 20),
                             reader->text());
        CPPUNIT_ASSERT(reader->isDone());
    }

    void refusedByAllIsNotRun()
    {
        EntryFixture fixture;
        fixture.setScripts({Fault::Refuse});
        const auto response = fixture.post("/v1/completions", body(false));
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(!response.header("Retry-After").empty());
        const auto json = nlohmann::json::parse(response.body);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), json["outcome"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), starts(fixture));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GenerationTest);
