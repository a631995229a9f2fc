#include "EntryFixture.h"

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/protocol/ResumeToken.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace foxtailring;
using namespace foxtailring::test;
using Fault = FakeSidecar::Fault;

// Callers that come back after a cut, with a resume token or an idempotency key.
class ReturnTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReturnTest);
    CPPUNIT_TEST(callerGoesOnThroughAnotherEntry);
    CPPUNIT_TEST(engineLostAfterReturnIsResumed);
    CPPUNIT_TEST(completeAnswerIsEndedAgain);
    CPPUNIT_TEST(tokensOfOthersAreRefused);
    CPPUNIT_TEST(lostJournalIsIncomplete);
    CPPUNIT_TEST(goneCallerDoesNotCancel);
    CPPUNIT_TEST(goneCallerWithoutTokenCancels);
    CPPUNIT_TEST(keyFindsTheRunningGeneration);
    CPPUNIT_TEST(keyWithAnotherBodyIsRefused);
    CPPUNIT_TEST(keyRestartsWhenTheJournalIsGone);
    CPPUNIT_TEST(streamIsHandedOverWhenAnEntryStops);
    CPPUNIT_TEST_SUITE_END();

    const std::string m_body = R"({"model":"m","prompt":"p","max_tokens":20,"stream":true})";

    static std::string whole(const HttpResponse &response)
    {
        return nlohmann::json::parse(response.body)["choices"][0]["text"];
    }

    /// A caller whose connection is cut after 7 tokens; returns its resume token.
    std::string cutAfterSeven(EntryFixture &fixture, std::vector<HttpHeader> headers = {})
    {
        fixture.setScripts({Fault::Silent, 7});
        const auto reader = fixture.stream(m_body, std::move(headers));
        CPPUNIT_ASSERT(reader->waitForTokens(7));
        reader->cut();
        CPPUNIT_ASSERT(reader->waitForEnd());
        EntryFixture::waitUntil([&] {
            return fixture.entry().metrics().counterValue("generations_total{outcome=\"detached\"}")
                == 1;
        });
        return reader->lastId();
    }

public:
    // Guards against an answer that depends on the entry that began it.
    void callerGoesOnThroughAnotherEntry()
    {
        EntryFixture fixture(1);
        const std::uint16_t second = fixture.addEntry();
        const std::string id = cutAfterSeven(fixture);
        const auto rest = fixture.stream(m_body, {{"Last-Event-ID", id}}, second);
        CPPUNIT_ASSERT(rest->waitForEnd());
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer("p1", 20, 7), rest->text());
        CPPUNIT_ASSERT(rest->isDone());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.sidecar(0).starts.size());
    }

    // Guards against an entry that took over a stream and cannot resume it, for lack of the part
    // that the first entry delivered.
    void engineLostAfterReturnIsResumed()
    {
        EntryFixture fixture;
        const std::string id = cutAfterSeven(fixture);
        const std::size_t first = fixture.sidecar(0).starts.empty() ? 1 : 0;
        fixture.sidecar(first).setScript({Fault::None, 0, false, false, 12});
        fixture.sidecar(1 - first).setScript({});
        const auto rest = fixture.stream(m_body, {{"Last-Event-ID", id}});
        CPPUNIT_ASSERT(rest->waitForEnd());
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer(fixture.sidecar(first).id() + "1", 20, 7),
                             rest->text());
        CPPUNIT_ASSERT_EQUAL(std::size_t(12),
                             fixture.sidecar(1 - first).starts.at(0).prefix.size());
    }

    void completeAnswerIsEndedAgain()
    {
        EntryFixture fixture(1);
        const auto reader = fixture.stream(m_body);
        CPPUNIT_ASSERT(reader->waitForEnd());
        const auto again = fixture.stream(m_body, {{"Last-Event-ID", reader->lastId()}});
        CPPUNIT_ASSERT(again->waitForEnd());
        CPPUNIT_ASSERT_EQUAL(std::string(), again->text());
        CPPUNIT_ASSERT_EQUAL(std::string("length"), again->finishReason());
        CPPUNIT_ASSERT(again->isDone());
    }

    // Guards against reading another client account's answer.
    void tokensOfOthersAreRefused()
    {
        EntryFixture fixture(1);
        const std::string id = cutAfterSeven(fixture);
        const auto status = [&](const std::string &token, const std::string &key,
                                const std::string &body) {
            return fixture
                .request({"POST",
                          "/v1/completions",
                          {{"Authorization", "Bearer " + key}, {"Last-Event-ID", token}},
                          body})
                .status;
        };
        CPPUNIT_ASSERT_EQUAL(403, status(id, "key-b", m_body));
        CPPUNIT_ASSERT_EQUAL(400, status("no token", "key-a", m_body));
        CPPUNIT_ASSERT_EQUAL(403, status('A' + id.substr(1), "key-a", m_body));
        CPPUNIT_ASSERT_EQUAL(422,
                             status(id, "key-a", R"({"model":"m","prompt":"q","stream":true})"));
        CPPUNIT_ASSERT_EQUAL(401, status(id, "key-c", m_body));
        CPPUNIT_ASSERT(fixture.sidecar(0).attaches.empty());
    }

    // Guards against a new generation appended to what the caller has of a lost one.
    void lostJournalIsIncomplete()
    {
        EntryFixture fixture(1);
        const std::string id = cutAfterSeven(fixture);
        fixture.sidecar(0).setScript({Fault::None, 0, true});
        const auto rest = fixture.stream(m_body, {{"Last-Event-ID", id}});
        CPPUNIT_ASSERT(rest->waitForEnd());
        CPPUNIT_ASSERT_EQUAL(502, rest->status());
        CPPUNIT_ASSERT(rest->raw().find("answer_incomplete") != std::string::npos);
        CPPUNIT_ASSERT(rest->raw().find(R"("outcome":"incomplete")") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.sidecar(0).starts.size());
    }

    void goneCallerDoesNotCancel()
    {
        EntryFixture fixture(1);
        cutAfterSeven(fixture);
        CPPUNIT_ASSERT(fixture.sidecar(0).cancels.empty());
    }

    void goneCallerWithoutTokenCancels()
    {
        EntryFixture fixture(1);
        fixture.setScripts({Fault::Silent, 0});
        const auto reader = fixture.stream(m_body);
        FakeSidecar &sidecar = fixture.sidecar(0);
        CPPUNIT_ASSERT(sidecar.wait([&] { return !sidecar.starts.empty(); }));
        reader->cut();
        CPPUNIT_ASSERT(sidecar.wait([&] { return !sidecar.cancels.empty(); }));
    }

    // Guards against running a request twice when its caller lost the connection early.
    void keyFindsTheRunningGeneration()
    {
        EntryFixture fixture;
        const std::uint16_t second = fixture.addEntry();
        cutAfterSeven(fixture, {{"Idempotency-Key", "k"}});
        const std::size_t first = fixture.sidecar(0).starts.empty() ? 1 : 0;
        for (const std::size_t keeper : {0, 1})
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.sidecar(keeper).records.size());
        const auto again = fixture.stream(m_body, {{"Idempotency-Key", "k"}}, second);
        CPPUNIT_ASSERT(again->waitForEnd());
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer(fixture.sidecar(first).id() + "1", 20),
                             again->text());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.sidecar(1 - first).starts.size());
    }

    void keyWithAnotherBodyIsRefused()
    {
        EntryFixture fixture(1);
        const std::string other = R"({"model":"m","prompt":"other","max_tokens":20})";
        CPPUNIT_ASSERT_EQUAL(
            200, fixture.post("/v1/completions", other, {{"Idempotency-Key", "k"}}).status);
        const auto refused = fixture.post("/v1/completions", m_body, {{"Idempotency-Key", "k"}});
        CPPUNIT_ASSERT_EQUAL(422, refused.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.sidecar(0).starts.size());
    }

    void keyRestartsWhenTheJournalIsGone()
    {
        EntryFixture fixture(1);
        const std::string body = R"({"model":"m","prompt":"p","max_tokens":20})";
        const std::vector<HttpHeader> key {{"Idempotency-Key", "k"}};
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer("p1", 20),
                             whole(fixture.post("/v1/completions", body, key)));
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer("p1", 20),
                             whole(fixture.post("/v1/completions", body, key)));
        fixture.sidecar(0).setScript({Fault::None, 0, true});
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer("p2", 20),
                             whole(fixture.post("/v1/completions", body, key)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.sidecar(0).starts.size());
    }

    // Guards against a shutdown that loses an answer which takes longer than the limit.
    void streamIsHandedOverWhenAnEntryStops()
    {
        EntryFixture fixture(1);
        const std::uint16_t second = fixture.addEntry();
        fixture.setScripts({Fault::Silent, 7});
        const auto reader = fixture.stream(m_body);
        CPPUNIT_ASSERT(reader->waitForTokens(7));
        std::atomic<bool> drained = false;
        fixture.entry().drain([&] { drained = true; });
        CPPUNIT_ASSERT(reader->waitForEnd());
        CPPUNIT_ASSERT(reader->wasCut());
        CPPUNIT_ASSERT(!reader->isDone());
        CPPUNIT_ASSERT(reader->raw().find("retry: 0\n") != std::string::npos);
        const auto rest = fixture.stream(m_body, {{"Last-Event-ID", reader->lastId()}}, second);
        CPPUNIT_ASSERT(rest->waitForEnd());
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer("p1", 20, 7), rest->text());
        EntryFixture::waitUntil([&] { return drained.load(); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnTest);
