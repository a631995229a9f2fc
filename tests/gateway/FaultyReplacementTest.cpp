#include "GatewayFixture.h"
#include "RawPeer.h"

#include <sstream>

using namespace foxtailring;

namespace {

const std::string head = "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: 1\r\n"
                         "Content-Type: text/event-stream\r\n";
const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
// More than any head, chunk header or trailer may have.
const std::string longText(std::size_t(256) * 1024, 'x');

std::string chunk(const std::string &bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

std::string repeated(const std::string &text, int count)
{
    std::string out;
    for (int i = 0; i < count; ++i)
        out += text;
    return out;
}

} // namespace

// A stream that is moved, as its server no longer lists the run, to a server that answers with what
// is no stream.
class FaultyReplacementTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(FaultyReplacementTest);
    CPPUNIT_TEST(streamGoesOnBesideAFaultyReplacement);
    CPPUNIT_TEST(faultyFallbackDoesNotDisturbItsReplacement);
    CPPUNIT_TEST(fallbackThatSendsCommentsDoesNotHoldUpTheDeadline);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        GatewayFixture::setUp();
        for (int i = 0; i < 2; ++i)
            m_serverPorts[i] = m_raw[i].port();
    }

    // Guards against a sound stream that ends, or gets foreign bytes, because of the server that
    // was to take its place.
    void streamGoesOnBesideAFaultyReplacement()
    {
        for (const std::string &answer : faultyAnswers()) {
            replaceStream();
            m_second->tryWrite(answer, std::chrono::milliseconds(0));
            waitUntil([this] {
                return metrics().find("gateway_attempts_resumed_total{cause=\"noServer\"} 1")
                    != std::string::npos;
            });
            m_first->write(chunk(eventText(2)) + chunk(eventText(3)) + "0\r\n\r\n");
            expectThreeEvents(answer);
        }
    }

    // Guards against the same for the stream of the replacement.
    void faultyFallbackDoesNotDisturbItsReplacement()
    {
        for (const std::string &rest :
             {"5;long=" + longText, "0\r\nX-Long: " + longText, std::string("zz\r\n"),
              chunk("id: 9\ndata: x\n\n"), chunk("data: x\n\n"), chunk(longText + longText),
              chunk("id: 2\nda") + "0\r\n\r\n", std::string("0\r\n")}) {
            replaceStream();
            m_first->tryWrite(rest, std::chrono::milliseconds(0));
            m_first->close();
            m_second->write(chunkedHead + chunk(eventText(2)) + chunk(eventText(3)) + "0\r\n\r\n");
            expectThreeEvents(rest);
        }
    }

    // Guards against a request that gets neither an answer nor a refusal: each part of the
    // fallback's answer set the timer of the request anew.
    void fallbackThatSendsCommentsDoesNotHoldUpTheDeadline()
    {
        replaceStream({{"patience", "1500"}});
        const std::string comments = chunk(repeated(": comment\n\n", 100));
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(6);
        while (m_answers->isEmpty() && std::chrono::steady_clock::now() < end)
            m_first->tryWrite(comments, std::chrono::milliseconds(0));
        CPPUNIT_ASSERT(!m_answers->isEmpty());
    }

private:
    static std::vector<std::string> faultyAnswers()
    {
        return {repeated("HTTP/1.1 103 Early Hints\r\n\r\n", 100),
                "HTTP/1.1 103 Early Hints\r\nX-Long: " + longText,
                chunkedHead + "5;long=" + longText,
                chunkedHead + "0\r\nX-Long: " + longText,
                chunkedHead + "0\r\n" + repeated("Name: value\r\n", 20'000),
                chunkedHead + "zz\r\n",
                head + repeated("Name: value\r\n", 20'000),
                head + "Transfer-Encoding: gzip\r\n\r\n",
                chunkedHead + chunk("id: 2\ndata: " + longText) + repeated(chunk(longText), 4)};
    }

    // Begins a stream whose server sends the event 1; returns when it has been sent to another
    // server for the reason that the first one does not list the run.
    void replaceStream(const std::vector<HttpHeader> &headers = {})
    {
        for (;;) {
            startGateway(std::chrono::milliseconds(20'000));
            startServing();
            m_answers->clear();
            call("/stream/x", "good", headers);
            m_first = acceptRequest();
            m_first->write(chunkedHead + chunk(eventText(1)));
            m_second = acceptRequest();
            if (metrics().find("gateway_attempts_total{cause=\"unlisted\"} 1") != std::string::npos)
                return;
        }
    }

    // Accepts connections up to one that sends more than a probe.
    std::unique_ptr<RawPeer> acceptRequest()
    {
        while (true) {
            waitUntil([this] { return m_raw[0].hasConnection() || m_raw[1].hasConnection(); });
            std::unique_ptr<RawPeer> peer(
                new RawPeer(m_raw[m_raw[0].hasConnection() ? 0 : 1].accept()));
            const std::string request = peer->readUntil("\r\n\r\n");
            if (!request.empty() && !request.starts_with("GET /load"))
                return peer;
            peer->write("HTTP/1.1 200 OK\r\nunlisted: 1\r\nContent-Length: 0\r\n\r\n");
        }
    }

    void expectThreeEvents(const std::string &what)
    {
        const auto answer = m_answers->take();
        CPPUNIT_ASSERT_MESSAGE(what.substr(0, 200), answer.isOk());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            what.substr(0, 200), eventText(1) + eventText(2) + eventText(3), answer.value().body);
    }

    RawServer m_raw[2];
    std::unique_ptr<RawPeer> m_first;
    std::unique_ptr<RawPeer> m_second;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultyReplacementTest);
