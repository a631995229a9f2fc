#include "foxtailring/base/SettingsReader.h"
#include "foxtailring/entry/CompletionRequest.h"
#include "foxtailring/entry/EntrySettings.h"
#include "foxtailring/entry/Problem.h"
#include "foxtailring/entry/TokenText.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace foxtailring;

// Formats of requests, answers, problems and settings.
class FormatTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FormatTest);
    CPPUNIT_TEST(characterSplitOverTokensIsHeldBack);
    CPPUNIT_TEST(textThatIsNotUtf8IsNotHeldForEver);
    CPPUNIT_TEST(contentHashIgnoresFormatAndDelivery);
    CPPUNIT_TEST(badBodiesNameTheMember);
    CPPUNIT_TEST(problemTellsOutcomeAndTime);
    CPPUNIT_TEST(settingsListEveryFault);
    CPPUNIT_TEST_SUITE_END();

    static std::string hash(const std::string &body)
    {
        return CompletionRequest::parse(body, false).value().contentHash;
    }

public:
    // Guards against a resume token that points into the middle of a character.
    void characterSplitOverTokensIsHeldBack()
    {
        TokenText text;
        const std::vector<Token> first {{1, "a"}, {2, "b\xe2"}};
        const auto piece = text.add(0, first);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), piece->text);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), piece->nextOffset);
        const std::vector<Token> second {{3, "\x82"}};
        CPPUNIT_ASSERT(!text.add(2, second));
        const std::vector<Token> third {{4, "\xac"}, {5, "\xf0\x9f"}};
        const auto rest = text.add(3, third);
        CPPUNIT_ASSERT_EQUAL(std::string("b\xe2\x82\xac"), rest->text);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), rest->nextOffset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), text.flush()->nextOffset);
        CPPUNIT_ASSERT(!text.flush());
    }

    void textThatIsNotUtf8IsNotHeldForEver()
    {
        TokenText text;
        const std::vector<Token> bytes(20, Token {1, "\xf0"});
        CPPUNIT_ASSERT(text.add(0, bytes));
    }

    // Guards against an idempotency key or token that a new attempt with other spacing loses.
    void contentHashIgnoresFormatAndDelivery()
    {
        const std::string plain = hash(R"({"model":"m","prompt":"p","seed":1})");
        CPPUNIT_ASSERT_EQUAL(plain,
                             hash(R"({ "seed": 1, "prompt": "p", "model": "m", "stream": true })"));
        CPPUNIT_ASSERT(plain != hash(R"({"model":"m","prompt":"p","seed":2})"));
        CPPUNIT_ASSERT(plain != hash(R"({"model":"m","prompt":"q","seed":1})"));
    }

    void badBodiesNameTheMember()
    {
        const std::vector<std::pair<std::string, std::string>> bodies {
            {R"({"prompt":"p"})", "model"},
            {R"({"model":"m"})", "prompt"},
            {R"({"model":"m","prompt":["a","b"]})", "prompt"},
            {R"({"model":"m","prompt":"p","max_tokens":0})", "max_tokens"},
            {R"({"model":"m","prompt":"p","max_tokens":-1})", "max_tokens"},
            {R"({"model":"m","prompt":"p","n":2})", "\"n\""},
            {R"({"model":"m","prompt":"p","stop":[1]})", "stop"},
            {R"({"model":"m","prompt":"p","stream":"yes"})", "stream"},
            {"[1", "JSON object"},
            {"\xff", "JSON object"},
            {R"({"model":"m","prompt":"p","x":)" + std::string(100000, '['), "nested"},
        };
        for (const auto &[body, member] : bodies) {
            const auto parsed = CompletionRequest::parse(body, false);
            CPPUNIT_ASSERT(!parsed.isOk());
            CPPUNIT_ASSERT(parsed.error().code == ErrorCode::InvalidArgument);
            CPPUNIT_ASSERT_MESSAGE(parsed.error().message,
                                   parsed.error().message.find(member) != std::string::npos);
        }
        for (const char *body :
             {R"({"model":"m","messages":[]})", R"({"model":"m","messages":["a"]})",
              R"({"model":"m","messages":[{"role":"user","content":[{"type":"image"}]}]})"})
            CPPUNIT_ASSERT(!CompletionRequest::parse(body, true).isOk());
    }

    void problemTellsOutcomeAndTime()
    {
        const auto response = Problem::of({ErrorCode::Overloaded, "busy \xff"}, Problem::notRun,
                                          std::chrono::milliseconds(1200), {})
                                  .response();
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(response.header("Retry-After") == "2");
        CPPUNIT_ASSERT(response.header("Content-Type") == "application/problem+json");
        const auto json = nlohmann::json::parse(response.body);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), json["outcome"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(1200, json["retryAfterMs"].get<int>());
    }

    void settingsListEveryFault()
    {
        auto reader = SettingsReader::fromText("nodeId: e\nregion: r\navailabilityZone: z\n"
                                               "listen: nowhere\nadmin: 127.0.0.1:0\n"
                                               "platform: 127.0.0.1:1\nsecret: short\n"
                                               "times:\n  ackIntervalMs: 5000\n  unknown: 1\n",
                                               "f.yaml");
        const auto settings = EntrySettings::read(reader.value());
        CPPUNIT_ASSERT(!settings.isOk());
        for (const char *fault :
             {"f.yaml:4: listen: \"nowhere\"", "f.yaml:7: secret: \"short\"",
              "f.yaml:9: times.ackIntervalMs: \"5000\"", "f.yaml:10: times.unknown"})
            CPPUNIT_ASSERT_MESSAGE(settings.error().message,
                                   settings.error().message.find(fault) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormatTest);
