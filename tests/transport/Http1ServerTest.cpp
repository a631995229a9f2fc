#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"
#include "RawPeer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <random>

using namespace foxtailring;

namespace {

struct Arrived
{
    HttpRequest request;
    std::shared_ptr<Http1Responder> responder;
};

constexpr HttpLimits smallLimits {1024, 4096, std::chrono::seconds(60)};
constexpr std::string_view getRoot = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

} // namespace

// The server against a peer that sends exactly the bytes of the test.
class Http1ServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(Http1ServerTest);
    CPPUNIT_TEST(malformedRequestsAreAnswered400);
    CPPUNIT_TEST(randomBytesDoNotStopTheServer);
    CPPUNIT_TEST(oversizeRequestsAreRefused);
    CPPUNIT_TEST(disconnectIsSeenWhileAResponseIsPending);
    CPPUNIT_TEST(disconnectIsSeenWhileStreaming);
    CPPUNIT_TEST(disconnectHookSetTooLateStillRuns);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(expectedContinueIsSent);
    CPPUNIT_TEST(version10GetsAPlainBody);
    CPPUNIT_TEST(droppedResponderAnswers500);
    CPPUNIT_TEST(abortSendsNoFinalChunk);
    CPPUNIT_TEST(stoppedServerFinishesItsRequest);
    CPPUNIT_TEST(requestsThatCrossTheStopAreAnswered);
    CPPUNIT_TEST(closedServerReleasesItsPort);
    CPPUNIT_TEST(lineBreaksInHeadersAreNotSent);
    CPPUNIT_TEST(announcedCloseStillTakesConnections);
    CPPUNIT_TEST(unfinishedHeadIsClosed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool.emplace(3);
        m_server.emplace(*m_pool, Endpoint {"127.0.0.1", 0}, smallLimits,
                         [this](HttpRequest request, std::shared_ptr<Http1Responder> responder) {
                             m_arrived.put({std::move(request), std::move(responder)});
                         });
        m_port = m_server->listen().value();
    }

    void tearDown() override
    {
        m_pool->stop();
        m_arrived.clear();
        m_server.reset();
        m_pool.reset();
    }

    void malformedRequestsAreAnswered400()
    {
        const std::string_view requests[] = {
            "nonsense\r\n\r\n",
            "GET / HTTP/9.9\r\n\r\n",
            "GET / HTTP/1.1\r\nno colon\r\n\r\n",
            "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"};
        for (const std::string_view request : requests) {
            RawPeer peer(m_port);
            peer.write(request);
            const std::string answer = peer.readAll();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 400 "));
            CPPUNIT_ASSERT(contains(answer, "application/problem+json"));
            CPPUNIT_ASSERT(contains(answer, "\"status\":400"));
        }
        CPPUNIT_ASSERT(m_arrived.isEmpty());
    }

    // Guards against input that makes the parser fail in a way no one handles.
    void randomBytesDoNotStopTheServer()
    {
        std::mt19937 random(7);
        for (int round = 0; round < 50; ++round) {
            std::string bytes(round % 2 == 0 ? "POST / HTTP/1.1\r\n" : "");
            for (int i = 0; i < 300; ++i)
                bytes += static_cast<char>(random());
            RawPeer(m_port).write(bytes);
        }
        RawPeer peer(m_port);
        peer.write(getRoot);
        m_arrived.take().responder->respond({204, {}, {}});
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 204 "));
    }

    // Guards against memory that a caller can make the server hold without limit. The whole
    // request is sent first: closing with unread input would lose the answer.
    void oversizeRequestsAreRefused()
    {
        const std::string body(5000, 'x');
        const std::pair<std::string, std::string_view> requests[] = {
            {"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + body, "HTTP/1.1 413 "},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + body,
             "HTTP/1.1 413 "},
            {"GET / HTTP/1.1\r\nLong: " + body + "\r\n\r\n", "HTTP/1.1 431 "}};
        for (const auto &[request, status] : requests) {
            RawPeer peer(m_port);
            peer.write(request);
            const std::string answer = peer.readAll();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with(status));
            CPPUNIT_ASSERT(contains(answer, "application/problem+json"));
        }
    }

    void disconnectIsSeenWhileAResponseIsPending()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        const Arrived arrived = m_arrived.take();
        arrived.responder->onDisconnect([this] { m_gone.put(1); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_server->openRequestCount());
        peer.close();
        m_gone.take();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_server->openRequestCount());
    }

    void disconnectIsSeenWhileStreaming()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        const Arrived arrived = m_arrived.take();
        arrived.responder->onDisconnect([this] { m_gone.put(1); });
        arrived.responder->startStream(200, {});
        arrived.responder->write("first");
        CPPUNIT_ASSERT(contains(peer.readUntil("first\r\n"), "chunked"));
        peer.close();
        m_gone.take();
        arrived.responder->write("second");
        waitUntil([&] { return arrived.responder->pendingBytes() == 0; });
        CPPUNIT_ASSERT(m_gone.isEmpty());
    }

    // Guards against work for a caller that left between the request and the hook.
    void disconnectHookSetTooLateStillRuns()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        const Arrived arrived = m_arrived.take();
        peer.close();
        waitUntil([this] { return m_server->openRequestCount() == 0; });
        arrived.responder->onDisconnect([this] { m_gone.put(1); });
        m_gone.take();
    }

    void pipelinedRequestsAreAnsweredInOrder()
    {
        RawPeer peer(m_port);
        peer.write("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n\r\n");
        for (const char *target : {"/a", "/b", "/c"}) {
            const Arrived arrived = m_arrived.take();
            CPPUNIT_ASSERT_EQUAL(std::string(target), arrived.request.target);
            CPPUNIT_ASSERT(m_arrived.isEmpty());
            arrived.responder->respond({200, {}, "body of " + arrived.request.target + "#"});
            CPPUNIT_ASSERT(contains(peer.readUntil("#"), target));
        }
    }

    void expectedContinueIsSent()
    {
        RawPeer peer(m_port);
        peer.write("POST / HTTP/1.1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 100 "));
        peer.write("body");
        CPPUNIT_ASSERT_EQUAL(std::string("body"), m_arrived.take().request.body);
    }

    void version10GetsAPlainBody()
    {
        RawPeer peer(m_port);
        peer.write("GET / HTTP/1.0\r\n\r\n");
        const Arrived arrived = m_arrived.take();
        arrived.responder->startStream(200, {});
        arrived.responder->write("one,");
        arrived.responder->write("two");
        arrived.responder->finish();
        CPPUNIT_ASSERT(peer.readAll().ends_with("\r\n\r\none,two"));
    }

    // Guards against a caller that waits forever for a request that was forgotten.
    void droppedResponderAnswers500()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        m_arrived.take();
        CPPUNIT_ASSERT(peer.readUntil("}").starts_with("HTTP/1.1 500 "));
        peer.write(getRoot);
        m_arrived.take().responder->startStream(200, {});
        CPPUNIT_ASSERT(!contains(peer.readAll(), "0\r\n\r\n"));
    }

    void abortSendsNoFinalChunk()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        const Arrived arrived = m_arrived.take();
        arrived.responder->onDisconnect([this] { m_gone.put(1); });
        arrived.responder->startStream(200, {});
        arrived.responder->write("last words");
        arrived.responder->abort();
        CPPUNIT_ASSERT(peer.readAll().ends_with("last words\r\n"));
        CPPUNIT_ASSERT(m_gone.isEmpty());
    }

    void stoppedServerFinishesItsRequest()
    {
        RawPeer idle(m_port);
        idle.write(getRoot);
        m_arrived.take().responder->respond({204, {}, {}});
        idle.readUntil("\r\n\r\n");
        RawPeer busy(m_port);
        busy.write(getRoot);
        const Arrived arrived = m_arrived.take();
        m_server->stopAccepting();
        CPPUNIT_ASSERT_EQUAL(std::string(), idle.readAll());
        CPPUNIT_ASSERT_THROW(RawPeer {m_port}, boost::system::system_error);
        arrived.responder->respond({200, {}, "done"});
        const std::string answer = busy.readAll();
        CPPUNIT_ASSERT(contains(answer, "Connection: close"));
        CPPUNIT_ASSERT(answer.ends_with("done"));
    }

    // Guards against requests, on new and on kept connections, that a planned stop cuts off without
    // an answer.
    void requestsThatCrossTheStopAreAnswered()
    {
        RawPeer kept(m_port);
        kept.write(getRoot);
        m_arrived.take().responder->respond({204, {}, {}});
        kept.readUntil("\r\n\r\n");
        RawPeer waiting(m_port);
        waiting.write(getRoot);
        kept.write(getRoot);
        m_server->stopAccepting();
        for (int i = 0; i < 2; ++i)
            m_arrived.take().responder->respond({200, {}, "done"});
        for (RawPeer *peer : {&kept, &waiting}) {
            const std::string answer = peer->readAll();
            CPPUNIT_ASSERT(contains(answer, "Connection: close"));
            CPPUNIT_ASSERT(answer.ends_with("done"));
        }
    }

    // Guards against a restarted process that cannot bind its own port.
    void closedServerReleasesItsPort()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        const Arrived arrived = m_arrived.take();
        arrived.responder->onDisconnect([this] { m_gone.put(1); });
        Http1Server second(*m_pool, {"127.0.0.1", m_port}, smallLimits, {});
        CPPUNIT_ASSERT(second.listen().error().code == ErrorCode::Unavailable);
        m_server->close();
        CPPUNIT_ASSERT_EQUAL(m_port, second.listen().value());
        m_gone.take();
        CPPUNIT_ASSERT_EQUAL(std::string(), peer.readAll());
    }

    // Guards against a header value from outside that starts a second response.
    void lineBreaksInHeadersAreNotSent()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        m_arrived.take().responder->respond({200, {{"A", "x\r\nB: y"}, {"C", "z"}}, "#"});
        const std::string answer = peer.readUntil("#");
        CPPUNIT_ASSERT(!contains(answer, "B: y"));
        CPPUNIT_ASSERT(contains(answer, "C: z"));
    }

    // A balancer goes on sending connections for a while. Guards against refusing them, and against
    // callers that keep using a connection of a server that is about to end.
    void announcedCloseStillTakesConnections()
    {
        m_server->disableKeepAlive();
        RawPeer peer(m_port);
        peer.write(getRoot);
        m_arrived.take().responder->respond({200, {}, "answer"});
        const std::string response = peer.readAll();
        CPPUNIT_ASSERT(contains(response, "Connection: close"));
        CPPUNIT_ASSERT(contains(response, "answer"));
    }

    // Guards against callers that occupy connections with heads that they never finish.
    void unfinishedHeadIsClosed()
    {
        HttpLimits limits = smallLimits;
        limits.headerTimeout = std::chrono::milliseconds(50);
        m_server->setLimits(limits);
        RawPeer peer(m_port);
        peer.write("GET / HTTP/1.1\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string(), peer.readAll());
    }

private:
    std::optional<WorkerPool> m_pool;
    Mailbox<Arrived> m_arrived;
    Mailbox<int> m_gone;
    std::optional<Http1Server> m_server;
    std::uint16_t m_port = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http1ServerTest);
