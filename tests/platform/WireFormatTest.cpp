#include "WireFormat.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class WireFormatTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WireFormatTest);
    CPPUNIT_TEST(requestIsDecoded);
    CPPUNIT_TEST(callersTimeoutIsBounded);
    CPPUNIT_TEST(tokenCountsAreBounded);
    CPPUNIT_TEST(lastEventsThatNoStreamHasAreIgnored);
    CPPUNIT_TEST(sharedPromptPartsAreDecoded);
    CPPUNIT_TEST(sharedPromptPartsAreBounded);
    CPPUNIT_TEST(ambiguousRequestsAreRefused);
    CPPUNIT_TEST(systemHeadersOfCallersAreDropped);
    CPPUNIT_TEST(connectionHeaderCannotDropProtectedHeaders);
    CPPUNIT_TEST(attemptNamesWhereTheRunResumes);
    CPPUNIT_TEST(attemptNamesItsUrgency);
    CPPUNIT_TEST(copyOnDemandIsNamedByItsHandle);
    CPPUNIT_TEST(requestIdThatIsNoTextIsEncoded);
    CPPUNIT_TEST(handlesThatAreNoHeaderValueAreRefused);
    CPPUNIT_TEST(answerIsDecoded);
    CPPUNIT_TEST(connectionHeaderOfAnAnswerKeepsItsSignature);
    CPPUNIT_TEST(everyConnectionHeaderCounts);
    CPPUNIT_TEST(loadThatNoServerHasIsUnknown);
    CPPUNIT_TEST(eachLoadFigureIsReadByItself);
    CPPUNIT_TEST(rateLimitIsDecoded);
    CPPUNIT_TEST(leavingIsDecoded);
    CPPUNIT_TEST(leavingIsDecodedFromProbes);
    CPPUNIT_TEST(pauseIsDecoded);
    CPPUNIT_TEST(unreadablePauseIsNone);
    CPPUNIT_TEST(longPauseIsBounded);
    CPPUNIT_TEST(longestOfRepeatedPausesCounts);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestIsDecoded()
    {
        const GatewayRequest request = m_codec.decodeRequest(http()).value();
        CPPUNIT_ASSERT_EQUAL(std::string("9c41"), request.id);
        CPPUNIT_ASSERT_EQUAL(std::string("/p/x"), request.path);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), request.apiKey);
        CPPUNIT_ASSERT(request.timeout == std::chrono::milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1460), request.promptTokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(80), request.maxOutputTokens);
        CPPUNIT_ASSERT_EQUAL(std::string("e4402b7d"), request.promptId);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), *request.lastEventId);
    }

    // Guards against a patient caller that is refused because its timeout overflows in nanoseconds.
    void callersTimeoutIsBounded()
    {
        using std::chrono::milliseconds;
        CPPUNIT_ASSERT(withTimeout("9223372036854775807") == std::chrono::hours(24));
        CPPUNIT_ASSERT(withTimeout("86400001") == std::chrono::hours(24));
        CPPUNIT_ASSERT(withTimeout("86400000") == std::chrono::hours(24));
        CPPUNIT_ASSERT(withTimeout("0") == milliseconds(0));
        CPPUNIT_ASSERT(withTimeout("-9223372036854775808") == milliseconds(0));
        for (const char *garbled : {"9223372036854775808", "2.5", "soon", ""})
            CPPUNIT_ASSERT_MESSAGE(garbled, !withTimeout(garbled));
    }

    // Guards against a caller whose counts overflow where the events that are left are counted.
    void tokenCountsAreBounded()
    {
        const GatewayRequest most =
            with("Token-Count", "18446744073709551615,18446744073709551615");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1'000'000'000), most.promptTokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1'000'000'000), most.maxOutputTokens);
        const GatewayRequest usual = with("Token-Count", "1000000000,999999999");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1'000'000'000), usual.promptTokens);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(999'999'999), usual.maxOutputTokens);
    }

    // Guards against the overflow of the number of events that are left, and against a stream that
    // waits for an event before the first one.
    void lastEventsThatNoStreamHasAreIgnored()
    {
        for (const char *garbled : {"-1", "-9223372036854775808", "9223372036854775807",
                                    "9223372036854775808", "last", ""})
            CPPUNIT_ASSERT_MESSAGE(garbled, !with("Last-Event-Id", garbled).lastEventId);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), *with("Last-Event-Id", "0").lastEventId);
    }

    // Guards against taking the part of one request for one that others have.
    void sharedPromptPartsAreDecoded()
    {
        const std::vector<std::string> parts = {"5c1e07a2", "91bd3f06"};
        CPPUNIT_ASSERT(withPrompt("5c1e07a2:800, 91bd3f06:410,e44:2").sharedPromptParts == parts);
        CPPUNIT_ASSERT(withPrompt("e4402b7d:250").sharedPromptParts.empty());
        CPPUNIT_ASSERT(withPrompt("").sharedPromptParts.empty());
    }

    // Guards against callers that fill the memory with names of parts.
    void sharedPromptPartsAreBounded()
    {
        std::string many;
        for (int i = 0; i < 2000; ++i)
            many += std::to_string(i) + ":1,";
        CPPUNIT_ASSERT(withPrompt(many).sharedPromptParts.size() <= 256);
        CPPUNIT_ASSERT(withPrompt(std::string(5000, 'a') + ":1,b:1").sharedPromptParts.empty());
    }

    // Guards against requests that this process and a backend server interpret differently.
    void ambiguousRequestsAreRefused()
    {
        HttpRequest twoHosts = http();
        twoHosts.headers.push_back({"host", "other.example"});
        HttpRequest noId = http();
        std::erase_if(noId.headers, [](const HttpHeader &one) { return one.name == "Request-Id"; });
        HttpRequest twoKeys = http();
        twoKeys.headers.push_back({"authorization", "Token other"});
        HttpRequest absolute = http();
        absolute.target = "http://h.example/p/x";
        for (const HttpRequest &request : {twoHosts, noId, twoKeys, absolute})
            CPPUNIT_ASSERT(!m_codec.decodeRequest(request).isOk());
    }

    // Guards against callers that set the account or the run of another caller themselves.
    void systemHeadersOfCallersAreDropped()
    {
        HttpRequest forged = http();
        for (const char *name : {"tenant", "Hold", "PIN-MS", "Kv-Backup", "Kv-From", "Kv-Fetch",
                                 "Target-Instance", "Request-Priority", "Expect-Version"})
            forged.headers.push_back({name, "forged"});
        const HttpRequest sent = encode(forged, metadata());
        for (const HttpHeader &header : sent.headers)
            CPPUNIT_ASSERT_MESSAGE(header.name, header.value != "forged");
        CPPUNIT_ASSERT(sent.header("Authorization").empty());
        CPPUNIT_ASSERT_EQUAL(std::string("crew"), std::string(sent.header("Tenant")));
        CPPUNIT_ASSERT_EQUAL(std::string("1500"), std::string(sent.header("Request-Deadline-Ms")));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), std::string(sent.header("Target-Instance")));
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), std::string(sent.header("X-Own")));
    }

    void connectionHeaderCannotDropProtectedHeaders()
    {
        HttpRequest request = http();
        request.headers.push_back({"Connection", "close, X-Own, Request-Id, Model"});
        const HttpRequest sent = encode(request, metadata());
        CPPUNIT_ASSERT(sent.header("X-Own").empty());
        CPPUNIT_ASSERT_EQUAL(std::string("9c41"), std::string(sent.header("Request-Id")));
        CPPUNIT_ASSERT_EQUAL(std::string("m"), std::string(sent.header("Model")));
    }

    void attemptNamesWhereTheRunResumes()
    {
        AttemptMetadata next = metadata();
        next.lastEventId = 40;
        next.copyTo = "10.0.0.2:80";
        next.fromCopy = CopyReference {"10.0.0.1:80", {}, {}};
        const HttpRequest sent = encode(http(), next);
        CPPUNIT_ASSERT_EQUAL(std::string("40"), std::string(sent.header("Last-Event-Id")));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:80"), std::string(sent.header("Kv-Backup")));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80/9c41"), std::string(sent.header("Kv-From")));
    }

    // Guards against a rank that engines do not know.
    void attemptNamesItsUrgency()
    {
        AttemptMetadata next = metadata();
        CPPUNIT_ASSERT(encode(http(), next).header("Request-Priority").empty());
        next.urgency = 2;
        CPPUNIT_ASSERT_EQUAL(std::string("2"),
                             std::string(encode(http(), next).header("Request-Priority")));
        next.urgency = 30;
        CPPUNIT_ASSERT_EQUAL(std::string("9"),
                             std::string(encode(http(), next).header("Request-Priority")));
    }

    void copyOnDemandIsNamedByItsHandle()
    {
        AttemptMetadata next = metadata();
        next.fromCopy = CopyReference {"10.0.0.1:80", "h7", {}};
        const HttpRequest sent = encode(http(), next);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80/h7"), std::string(sent.header("Kv-From")));
        const HttpRequest order = m_codec.encodeCopyRequest("9c41", "10.0.0.2:80");
        CPPUNIT_ASSERT_EQUAL(std::string("/kv-move"), order.target);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"id":"9c41","last":false,"to":"10.0.0.2:80"})"),
                             order.body);
        CPPUNIT_ASSERT_EQUAL(std::string("/kv-handle/h7"), m_codec.encodeCopyRelease("h7").target);
        const auto made = m_codec.decodeCopyResponse({200, {}, R"({"handle":"h7","created":12})"});
        CPPUNIT_ASSERT_EQUAL(std::string("h7"), made.value());
        CPPUNIT_ASSERT(!m_codec.decodeCopyResponse({409, {}, "{}"}));
        CPPUNIT_ASSERT(!m_codec.decodeCopyResponse({200, {}, R"({"created":12})"}));
    }

    // Guards against an exception for a caller's request id that is no UTF-8.
    void requestIdThatIsNoTextIsEncoded()
    {
        const HttpRequest order = m_codec.encodeCopyRequest("9c\xff", "10.0.0.2:80");
        CPPUNIT_ASSERT_EQUAL(std::string("/kv-move"), order.target);
    }

    // Guards against a handle that ends the header or the path that it becomes a part of.
    void handlesThatAreNoHeaderValueAreRefused()
    {
        for (const std::string &handle :
             {std::string("h7\\r\\nX: y"), std::string("h 7"), std::string(),
              std::string(70'000, 'h'), std::string("h\\u0000")})
            CPPUNIT_ASSERT_MESSAGE(
                handle.substr(0, 20),
                !m_codec.decodeCopyResponse({200, {}, "{\"handle\":\"" + handle + "\"}"}));
    }

    void answerIsDecoded()
    {
        const BackendAnswer full =
            m_codec.decodeAnswer({503, {{"Not-Executed", "1"}, {"Server-Load", "3, 1,8"}}, ""});
        CPPUNIT_ASSERT(full.isNotRun && !full.isSigned);
        CPPUNIT_ASSERT_EQUAL(1U, full.load.waiting.value());
        const BackendAnswer other = m_codec.decodeAnswer({421, {}, ""});
        CPPUNIT_ASSERT(other.isOtherServer);
        const BackendAnswer odd = m_codec.decodeAnswer({200, {{"Server-Load", "3,x,8"}}, ""});
        CPPUNIT_ASSERT(!odd.load.waiting);
        CPPUNIT_ASSERT_EQUAL(1U, odd.load.unreadableCount);
    }

    // Guards against a success whose caller cannot see which server answered, and for whom.
    void connectionHeaderOfAnAnswerKeepsItsSignature()
    {
        const HttpResponse response {
            200,
            {{"Connection", "close, server-stamp, Instance-Id, Request-Id, Content-Type, X-Own"},
             {"Server-Stamp", "s"},
             {"Instance-Id", "i"},
             {"Request-Id", "r"},
             {"Content-Type", "text/event-stream"},
             {"X-Own", "1"}},
            ""};
        const HttpResponse passed {200, m_codec.callerResponseHeaders(response), ""};
        CPPUNIT_ASSERT(m_codec.decodeAnswer(passed).isSigned);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), passed.headers.size());
        CPPUNIT_ASSERT(passed.header("X-Own").empty());
    }

    void everyConnectionHeaderCounts()
    {
        const HttpResponse response {200,
                                     {{"Connection", "X-First"},
                                      {"Connection", "X-Second"},
                                      {"X-First", "1"},
                                      {"X-Second", "1"}},
                                     ""};
        CPPUNIT_ASSERT(m_codec.callerResponseHeaders(response).empty());
    }

    // Guards against a server that looks idle since its running and waiting requests overflow when
    // they are added.
    void loadThatNoServerHasIsUnknown()
    {
        const LoadFigures odd = load("4294967295,1,4294967295");
        CPPUNIT_ASSERT(!odd.running && !odd.slots);
        CPPUNIT_ASSERT_EQUAL(1U, odd.waiting.value());
        CPPUNIT_ASSERT_EQUAL(2U, odd.unreadableCount);
    }

    // Guards against a whole load that is dropped because of one figure, and against a pace that is
    // not read because of it.
    void eachLoadFigureIsReadByItself()
    {
        CPPUNIT_ASSERT_EQUAL(2.5, load("3,1,8,250").relativeDuration.value());
        CPPUNIT_ASSERT_EQUAL(0U, load("3,1,8,250").unreadableCount);
        for (const char *odd : {"x,1,8,250", "-3,1,8,250", ",1,8,250", "1e9,1,8,250"}) {
            CPPUNIT_ASSERT_MESSAGE(odd, !load(odd).running && load(odd).slots == 8U);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, 2.5, load(odd).relativeDuration.value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, 1U, load(odd).unreadableCount);
        }
        for (const char *odd : {"3,1,8,0", "3,1,8,-1", "3,1,8,nan", "3,1,8,99999999999", "3,1,8,"})
            CPPUNIT_ASSERT_MESSAGE(odd, !load(odd).relativeDuration && load(odd).waiting == 1U);
        CPPUNIT_ASSERT(load("3").running == 3U && !load("3").waiting);
        CPPUNIT_ASSERT_EQUAL(0U, load("3").unreadableCount);
        CPPUNIT_ASSERT_EQUAL(0U, load("").unreadableCount);
        CPPUNIT_ASSERT(load("3,1,0,100").slots == std::nullopt);
    }

    // Guards against a pause that is taken from another status, or rounded to seconds.
    void pauseIsDecoded()
    {
        const BackendAnswer named = pauseAnswer(503, {" 2.5 "});
        CPPUNIT_ASSERT(named.namesPause && named.pause == std::chrono::milliseconds(2500));
        CPPUNIT_ASSERT(pauseAnswer(503, {"0"}).pause == Duration {0});
        CPPUNIT_ASSERT(!pauseAnswer(503, {}).namesPause);
        for (const int status : {200, 429, 500, 502, 504})
            CPPUNIT_ASSERT(!pauseAnswer(status, {"2"}).namesPause);
    }

    // Guards against a garbled value that becomes a pause, or that ends the process.
    void unreadablePauseIsNone()
    {
        for (const char *garbled :
             {"", " ", "soon", "-1", "-0.5", "nan", "inf", "-inf", "2s", "2 3", "2,3", "0x10", "+2",
              "1e999", "--1", "Fri, 04 Dec 2026 22:15:00 GMT"}) {
            const BackendAnswer odd = pauseAnswer(503, {garbled});
            CPPUNIT_ASSERT_MESSAGE(garbled, odd.namesPause && !odd.pause);
        }
    }

    // Guards against a server that is lost for days to a faulty value.
    void longPauseIsBounded()
    {
        for (const char *huge : {"61", "86400", "1e300", "99999999999999999999999999"})
            CPPUNIT_ASSERT_MESSAGE(huge,
                                   pauseAnswer(503, {huge}).pause == std::chrono::seconds(60));
    }

    void longestOfRepeatedPausesCounts()
    {
        CPPUNIT_ASSERT(pauseAnswer(503, {"1", "soon", "3", "2"}).pause == std::chrono::seconds(3));
    }

    // Guards against taking a garbled limit for a limit, or for the end of one.
    void rateLimitIsDecoded()
    {
        CPPUNIT_ASSERT(!m_codec.decodeAnswer({200, {}, ""}).namesRateLimit);
        const BackendAnswer named = m_codec.decodeAnswer({200, {{"server-limit", " 8.4"}}, ""});
        CPPUNIT_ASSERT_EQUAL(8.4, named.rateLimit.value());
        for (const char *garbled : {"", "x", "8.4x", "-1", "nan", "inf", "1e999", "8.4, 9"}) {
            const BackendAnswer odd = m_codec.decodeAnswer({200, {{"Server-Limit", garbled}}, ""});
            CPPUNIT_ASSERT_MESSAGE(garbled, odd.namesRateLimit && !odd.rateLimit);
        }
    }

    // Guards against missing that a server leaves, and against losing a server to a header that
    // says something else.
    void leavingIsDecoded()
    {
        const auto decode = [this](std::vector<HttpHeader> headers) {
            return m_codec.decodeAnswer({503, std::move(headers), ""}).leaving;
        };
        CPPUNIT_ASSERT(decode({}) == LeavingNotice::None);
        CPPUNIT_ASSERT(decode({{"Server-Leaving", "1"}}) == LeavingNotice::Leaving);
        CPPUNIT_ASSERT(decode({{"server-leaving", "1"}}) == LeavingNotice::Leaving);
        const std::string garbled[] = {"",
                                       "0",
                                       "2",
                                       "01",
                                       "1.0",
                                       "1,1",
                                       "true",
                                       "\x01",
                                       std::string("1\0", 2),
                                       std::string(1'000'000, '1')};
        for (const std::string &value : garbled)
            CPPUNIT_ASSERT_MESSAGE(value.substr(0, 20),
                                   decode({{"Server-Leaving", value}})
                                       == LeavingNotice::Unreadable);
        CPPUNIT_ASSERT(decode({{"Server-Leaving", "1"}, {"Server-Leaving", "1"}})
                       == LeavingNotice::Unreadable);
    }

    // Guards against a run that is placed at a server whose answer to the probe said that it
    // leaves.
    void leavingIsDecodedFromProbes()
    {
        const std::vector<HttpHeader> headers {{"Server-Leaving", "1"}};
        const HttpResponse load {200, headers,
                                 R"({"num_waiting":0,"num_running":0,"kv_used":0,"kv_total":1})"};
        const HttpResponse prompts {200, headers, R"({"held":[]})"};
        CPPUNIT_ASSERT(m_codec.decodeLoadReport(load, "r").value().leaving
                       == LeavingNotice::Leaving);
        CPPUNIT_ASSERT(m_codec.decodePromptList(prompts, "p").value().leaving
                       == LeavingNotice::Leaving);
    }

private:
    LoadFigures load(const std::string &value) const
    {
        return m_codec.decodeAnswer({200, {{"Server-Load", value}}, ""}).load;
    }

    BackendAnswer pauseAnswer(int status, const std::vector<std::string> &values) const
    {
        HttpResponse response {status, {}, ""};
        for (const std::string &value : values)
            response.headers.push_back({"retry-after", value});
        return m_codec.decodeAnswer(response);
    }

    static HttpRequest http()
    {
        return {"POST",
                "/p/x?q=1",
                {{"Host", "h.example"},
                 {"Request-Id", "9c41"},
                 {"Last-Event-Id", "12"},
                 {"Model", "m"},
                 {"Token-Count", "1460,80"},
                 {"Prompt-Prefix", "5c1e07a2:800, e4402b7d:250"},
                 {"Request-Deadline-Ms", "2500"},
                 {"Authorization", "Token secret"},
                 {"X-Own", "kept"}},
                "body"};
    }

    GatewayRequest with(const std::string &name, const std::string &value) const
    {
        HttpRequest request = http();
        for (HttpHeader &header : request.headers) {
            if (header.name == name)
                header.value = value;
        }
        return m_codec.decodeRequest(request).value();
    }

    GatewayRequest withPrompt(const std::string &prompt) const
    {
        return with("Prompt-Prefix", prompt);
    }

    std::optional<std::chrono::milliseconds> withTimeout(const std::string &text) const
    {
        return with("Request-Deadline-Ms", text).timeout;
    }

    static AttemptMetadata metadata()
    {
        AttemptMetadata out;
        out.serverId = "i-1";
        out.account = "crew";
        out.timeLeft = std::chrono::milliseconds(1500);
        return out;
    }

    HttpRequest encode(const HttpRequest &request, const AttemptMetadata &attempt) const
    {
        return m_codec.encodeAttempt(m_codec.decodeRequest(request).value(), attempt);
    }

    const BackendCodec m_codec = platform::backendCodec();
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireFormatTest);
