#include "GatewayFixture.h"
#include "RawPeer.h"

using namespace foxtailring;

namespace {

// More than the buffers of the connection take.
constexpr std::size_t answerBytes = 10'000'000;

} // namespace

// Answers that their callers do not read.
class UnreadAnswerTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(UnreadAnswerTest);
    CPPUNIT_TEST(unreadAnswerCountsUntilItsCallerLeaves);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a gateway that is killed for its memory: 60 answers of 10 MB took 600 MB, of
    // which none counted once the requests were over.
    void unreadAnswerCountsUntilItsCallerLeaves()
    {
        startServing();
        RawPeer peer(m_ports.callers, 4096);
        peer.write("POST /once/x HTTP/1.1\r\nHost: h\r\nid: 1\r\nkey: good\r\n"
                   "Content-Length: 0\r\n\r\n");
        std::string body;
        body.resize(answerBytes, 'x');
        m_received->take().responder->respond(signedAnswer(std::move(body)));
        waitUntil([this] { return hasMetric("gateway_requests_total{outcome=\"served\"} 1"); });
        waitUntil([this] { return hasMetric("gateway_held_bytes 1"); });
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200 "));
        peer.close();
        waitUntil([this] { return hasMetric("gateway_held_bytes 0"); });
    }

private:
    bool hasMetric(const std::string &start)
    {
        return metrics().find('\n' + start) != std::string::npos;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreadAnswerTest);
