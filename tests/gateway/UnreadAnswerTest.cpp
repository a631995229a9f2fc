#include "GatewayFixture.h"
#include "RawPeer.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

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
    CPPUNIT_TEST(slowestCallerIsEndedFirst);
    CPPUNIT_TEST(callersAreNotEndedWithoutTheRule);
    CPPUNIT_TEST_SUITE_END();

public:
    // The responders use the pool.
    void tearDown() override
    {
        m_streams.clear();
        m_peers.clear();
        GatewayFixture::tearDown();
    }

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

    // Guards against ending the answer that happens to grow next, and against blaming its server
    // for it. The account may hold 4 MB.
    void slowestCallerIsEndedFirst()
    {
        m_limitsPeerMemory = true;
        fillMemory();
        CPPUNIT_ASSERT(hasMetric("gateway_slow_callers_ended_total 1"));
        CPPUNIT_ASSERT(!m_peers.front()->readAll().ends_with("0\r\n\r\n"));
        m_streams.back().responder->finish();
        CPPUNIT_ASSERT(m_peers.back()->readAll().ends_with("0\r\n\r\n"));
        CPPUNIT_ASSERT(metrics().find("gateway_attempts_total{cause=\"invalid\"}")
                       == std::string::npos);
    }

    void callersAreNotEndedWithoutTheRule()
    {
        fillMemory();
        CPPUNIT_ASSERT(!hasMetric("gateway_slow_callers_ended_total"));
    }

private:
    static constexpr int maxStreams = 12;

    // Begins streams whose callers read nothing, one after the other, until one of them is ended.
    void fillMemory()
    {
        m_memoryMb = 32;
        startGateway(std::chrono::milliseconds(20'000));
        startServing();
        while (m_peers.size() < maxStreams && !hasEnded()) {
            const std::string id = std::to_string(m_peers.size());
            m_peers.push_back(std::make_unique<RawPeer>(m_ports.callers, 4096));
            m_peers.back()->write("POST /stream/x HTTP/1.1\r\nHost: h\r\nid: " + id
                                  + "\r\nkey: good\r\nConnection: close\r\n"
                                    "Content-Length: 0\r\n\r\n");
            m_streams.push_back(m_received->take());
            fill(*m_streams.back().responder, id);
        }
    }

    // Sends events until the gateway holds half a megabyte more.
    void fill(Http1Responder &server, const std::string &id)
    {
        const double before = heldBytes();
        server.startStream(200,
                           {{"Content-Type", "text/event-stream"}, {"signed", "1"}, {"id", id}});
        for (int event = 1; heldBytes() < before + 500'000 && !hasEnded(); ++event) {
            server.write("id: " + std::to_string(event) + "\ndata: " + std::string(30'000, 'x')
                         + "\n\n");
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }

    bool hasEnded() { return hasMetric("gateway_requests_total{outcome=\"cut\"}"); }

    double heldBytes()
    {
        const std::string name = "\ngateway_held_bytes ";
        const std::string text = metrics();
        const auto at = text.find(name);
        return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size()));
    }

    bool hasMetric(const std::string &start)
    {
        return metrics().find('\n' + start) != std::string::npos;
    }

    std::vector<std::unique_ptr<RawPeer>> m_peers;
    std::vector<ReceivedRequest> m_streams; ///< the same order
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreadAnswerTest);
