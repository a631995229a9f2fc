#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/ConnectionCut.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Timer.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"
#include "RawPeer.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

using namespace foxtailring;

namespace {

struct PendingRequest
{
    HttpRequest request;
    std::shared_ptr<Http1Responder> responder;
};

constexpr HttpLimits smallLimits {1024, 4096, std::chrono::seconds(60)};
/// Long enough that a busy machine does not exceed it between two steps of a test.
constexpr std::chrono::milliseconds shortTimeout {400};
/// More than the system's buffers of a connection hold.
constexpr std::size_t largeBytes = 8'000'000;
constexpr std::string_view getRoot = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

} // namespace

// Tests the server with a peer that sends raw bytes.
class Http1ServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(Http1ServerTest);
    CPPUNIT_TEST(malformedRequestsAreAnswered400);
    CPPUNIT_TEST(bodyOfAnUnknownCodingIsNoRequest);
    CPPUNIT_TEST(ambiguousFramingIsRefused);
    CPPUNIT_TEST(chunkedIsReadInAnyCase);
    CPPUNIT_TEST(randomBytesDoNotStopTheServer);
    CPPUNIT_TEST(oversizedRequestsAreRejected);
    CPPUNIT_TEST(headInPiecesIsLimited);
    CPPUNIT_TEST(rejectedSenderMaySendForSeconds);
    CPPUNIT_TEST(disconnectIsDetectedBeforeTheResponse);
    CPPUNIT_TEST(disconnectIsDetectedWhileStreaming);
    CPPUNIT_TEST(disconnectHookSetAfterDisconnectRuns);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(expectedContinueIsSent);
    CPPUNIT_TEST(lastChunkMayComeInPieces);
    CPPUNIT_TEST(trailerOfARequestIsNoHeader);
    CPPUNIT_TEST(http10ResponseIsNotChunked);
    CPPUNIT_TEST(droppedResponderAnswers500);
    CPPUNIT_TEST(abortSendsNoFinalChunk);
    CPPUNIT_TEST(stoppedServerFinishesItsRequest);
    CPPUNIT_TEST(requestsSentDuringStopAreAnswered);
    CPPUNIT_TEST(requestsInTheBacklogOfAStoppedServerAreAnswered);
    CPPUNIT_TEST(attemptsBeforeThePortIsClosedAreNotEstablished);
    CPPUNIT_TEST(newConnectionsOfAStoppedServerMaySend);
    CPPUNIT_TEST(stoppedServerRefusesPartsOfRequests);
    CPPUNIT_TEST(requestsAtTheIdleLimitAreAnswered);
    CPPUNIT_TEST(requestsAtTheCloseOfIdleConnectionsAreAnswered);
    CPPUNIT_TEST(requestsAfterTheCloseOfIdleConnectionsAreNotRead);
    CPPUNIT_TEST(requestsAfterTheIdleLimitAreNotRead);
    CPPUNIT_TEST(requestsThatArriveInPiecesDuringTheCloseAreRefused);
    CPPUNIT_TEST(requestsAreRefusedWithoutTheHandler);
    CPPUNIT_TEST(connectionsWithTheirLastResponseAreNotUsable);
    CPPUNIT_TEST(closedServerReleasesItsPort);
    CPPUNIT_TEST(lineBreaksInHeadersAreNotSent);
    CPPUNIT_TEST(connectionsAreAcceptedWithoutKeepAlive);
    CPPUNIT_TEST(unfinishedHeadTimesOut);
    CPPUNIT_TEST(unfinishedBodyIsRefused);
    CPPUNIT_TEST(slowReaderGetsTheWholeResponse);
    CPPUNIT_TEST(callerThatReadsNothingIsCut);
    CPPUNIT_TEST(inputThatWaitedDuringAPauseIsRead);
    CPPUNIT_TEST(timeLimitsThatCutRequestsAreReported);
    CPPUNIT_TEST(requestsOfLostConnectionsAreReported);
    CPPUNIT_TEST(unreadRequestsOfAClosedServerAreReported);
    CPPUNIT_TEST(idleConnectionsAreNotReported);
    CPPUNIT_TEST(longerIdleLimitReachesIdleConnections);
    CPPUNIT_TEST(longerIdleLimitHoldsForQueuedTimers);
    CPPUNIT_TEST(unchangedLimitsCostIdleConnectionsNothing);
    CPPUNIT_TEST(longerIdleLimitReachesBodiesInProgress);
    CPPUNIT_TEST(shorterIdleLimitSparesIdleConnections);
    CPPUNIT_TEST(requestHasTheSizesInForceWhenItBegins);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool.emplace(3);
        m_server.emplace(*m_pool, Endpoint {"127.0.0.1", 0}, smallLimits,
                         [this](HttpRequest request, std::shared_ptr<Http1Responder> responder) {
                             m_requests.put({std::move(request), std::move(responder)});
                         });
        m_server->onConnectionCut([this](const ConnectionCut &cut) { m_cuts.put(cut); });
        m_port = m_server->listen().value();
    }

    void tearDown() override
    {
        m_pool->stop();
        m_requests.clear();
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
        CPPUNIT_ASSERT(m_requests.isEmpty());
    }

    // Guards against a body that runs as a second request, past what is in front of this process.
    void bodyOfAnUnknownCodingIsNoRequest()
    {
        for (const std::string coding : {"gzip", "GZIP", "identity", "gzip, chunked", "x",
                                         "chunked-x", "xchunked", "deflate,gzip"})
            assertRefused("501", "Transfer-Encoding: " + coding + "\r\n");
        assertRefused("501", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n");
    }

    void ambiguousFramingIsRefused()
    {
        for (const std::string fields :
             {"Transfer-Encoding:\r\n",
              "Transfer-Encoding: ,chunked\r\n",
              "Transfer-Encoding: chunked,\r\n",
              "Transfer-Encoding: chunked, gzip\r\n",
              "Transfer-Encoding: chunked, chunked\r\n",
              "Transfer-Encoding: chunked;a=1\r\n",
              "Transfer-Encoding: \"chunked\"\r\n",
              "Transfer-Encoding: chunked gzip\r\n",
              "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
              "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
              "Transfer-Encoding : chunked\r\n",
              "Transfer-Encoding\t: gzip\r\n",
              "Content-Length: 0\r\nTransfer-Encoding: gzip\r\n",
              "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n",
              "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
              "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n",
              "Content-Length: 0\r\nContent-Length: 1\r\n",
              "Content-Length: 0, 1\r\n",
              "Content-Length : 0\r\n",
              "Content-Length: +0\r\n",
              "Content-Length: -1\r\n",
              "Content-Length: 0x0\r\n",
              "Content-Length:\r\n",
              "Content-Length: 18446744073709551616\r\n"})
            assertRefused("400", fields);
        RawPeer peer(m_port);
        peer.write("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(peer.readAll().starts_with("HTTP/1.1 400 "));
        CPPUNIT_ASSERT(m_requests.isEmpty());
    }

    void chunkedIsReadInAnyCase()
    {
        RawPeer peer(m_port);
        peer.write("POST / HTTP/1.1\r\ntransfer-encoding: \tChunked \r\n\r\n1\r\nx\r\n0\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("x"), m_requests.take().request.body);
    }

    // Random input must not cause a parser error that is not handled.
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
        m_requests.take().responder->respond({204, {}, {}});
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 204 "));
    }

    // A caller must not make the server buffer input without limit. The whole request is sent
    // first, since closing with unread input would lose the response.
    void oversizedRequestsAreRejected()
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

    // Guards against a refusal that is lost by a reset because its caller reads only after sending.
    void rejectedSenderMaySendForSeconds()
    {
        RawPeer peer(m_port);
        peer.write("POST / HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n");
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
        while (std::chrono::steady_clock::now() < end)
            CPPUNIT_ASSERT(peer.tryWrite("part of the body", std::chrono::milliseconds(50)));
        CPPUNIT_ASSERT(peer.readUntil("\r\n").starts_with("HTTP/1.1 413 "));
    }

    // Guards against a head without end: the parser's limit is on what it holds of the next field.
    void headInPiecesIsLimited()
    {
        RawPeer peer(m_port);
        peer.write("GET / HTTP/1.1\r\nN");
        for (int i = 0; i < 300; ++i)
            peer.tryWrite("ame: value\r\nN", std::chrono::milliseconds(1));
        peer.write("ame: value\r\n\r\n");
        waitUntil([&] { return peer.hasInput() || !m_requests.isEmpty(); });
        CPPUNIT_ASSERT(m_requests.isEmpty());
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 431 "));
    }

    void disconnectIsDetectedBeforeTheResponse()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        const PendingRequest pending = m_requests.take();
        pending.responder->onDisconnect([this] { m_disconnects.put(1); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_server->openRequestCount());
        peer.close();
        m_disconnects.take();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_server->openRequestCount());
    }

    void disconnectIsDetectedWhileStreaming()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        const PendingRequest pending = m_requests.take();
        pending.responder->onDisconnect([this] { m_disconnects.put(1); });
        pending.responder->startStream(200, {});
        pending.responder->write("first");
        CPPUNIT_ASSERT(contains(peer.readUntil("first\r\n"), "chunked"));
        peer.close();
        m_disconnects.take();
        pending.responder->write("second");
        waitUntil([&] { return pending.responder->pendingBytes() == 0; });
        CPPUNIT_ASSERT(m_disconnects.isEmpty());
    }

    // No work must go on for a caller that disconnected before the hook was set.
    void disconnectHookSetAfterDisconnectRuns()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        const PendingRequest pending = m_requests.take();
        peer.close();
        waitUntil([this] { return m_server->openRequestCount() == 0; });
        pending.responder->onDisconnect([this] { m_disconnects.put(1); });
        m_disconnects.take();
    }

    void pipelinedRequestsAreAnsweredInOrder()
    {
        RawPeer peer(m_port);
        peer.write("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n\r\n");
        for (const char *target : {"/a", "/b", "/c"}) {
            const PendingRequest pending = m_requests.take();
            CPPUNIT_ASSERT_EQUAL(std::string(target), pending.request.target);
            CPPUNIT_ASSERT(m_requests.isEmpty());
            pending.responder->respond({200, {}, "body of " + pending.request.target + "#"});
            CPPUNIT_ASSERT(contains(peer.readUntil("#"), target));
        }
    }

    void expectedContinueIsSent()
    {
        RawPeer peer(m_port);
        peer.write("POST / HTTP/1.1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 100 "));
        peer.write("body");
        CPPUNIT_ASSERT_EQUAL(std::string("body"), m_requests.take().request.body);
    }

    // Guards against an assertion of Beast that ends the process on a rest of four bytes.
    void lastChunkMayComeInPieces()
    {
        RawPeer peer(m_port);
        peer.write("POST / HTTP/1.1\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n");
        peer.readUntil("\r\n\r\n");
        for (const std::string_view piece : {"0", "\r", "\n", "\r", "\n"})
            peer.tryWrite(piece, std::chrono::milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::string(), m_requests.take().request.body);
    }

    // Guards against a trailer that sets a header which a balancer removes from callers' heads.
    void trailerOfARequestIsNoHeader()
    {
        const std::string request =
            "POST / HTTP/1.1\r\nName: head\r\nTransfer-Encoding: chunked\r\n\r\n"
            "4\r\nbody\r\n0\r\nOther: trailer\r\nName: trailer\r\n\r\n";
        for (const std::size_t pieceSize : {request.size(), std::size_t {1}}) {
            RawPeer peer(m_port);
            for (std::size_t i = 0; i < request.size(); i += pieceSize)
                peer.write(std::string_view(request).substr(i, pieceSize));
            const HttpRequest received = m_requests.take().request;
            CPPUNIT_ASSERT_EQUAL(std::string("body"), received.body);
            CPPUNIT_ASSERT_EQUAL(std::string("head"), std::string(received.header("Name")));
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), received.headers.size());
        }
    }

    void http10ResponseIsNotChunked()
    {
        RawPeer peer(m_port);
        peer.write("GET / HTTP/1.0\r\n\r\n");
        const PendingRequest pending = m_requests.take();
        pending.responder->startStream(200, {});
        pending.responder->write("one,");
        pending.responder->write("two");
        pending.responder->finish();
        CPPUNIT_ASSERT(peer.readAll().ends_with("\r\n\r\none,two"));
    }

    // A caller must not wait forever when a handler drops its responder.
    void droppedResponderAnswers500()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        m_requests.take();
        CPPUNIT_ASSERT(peer.readUntil("}").starts_with("HTTP/1.1 500 "));
        peer.write(getRoot);
        m_requests.take().responder->startStream(200, {});
        CPPUNIT_ASSERT(!contains(peer.readAll(), "0\r\n\r\n"));
    }

    void abortSendsNoFinalChunk()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        const PendingRequest pending = m_requests.take();
        pending.responder->onDisconnect([this] { m_disconnects.put(1); });
        pending.responder->startStream(200, {});
        pending.responder->write("last words");
        pending.responder->abort();
        CPPUNIT_ASSERT(peer.readAll().ends_with("last words\r\n"));
        CPPUNIT_ASSERT(m_disconnects.isEmpty());
    }

    void stoppedServerFinishesItsRequest()
    {
        RawPeer idle(m_port);
        idle.write(getRoot);
        m_requests.take().responder->respond({204, {}, {}});
        idle.readUntil("\r\n\r\n");
        RawPeer busy(m_port);
        busy.write(getRoot);
        const PendingRequest pending = m_requests.take();
        m_server->stopAccepting();
        m_server->closeIdle();
        CPPUNIT_ASSERT_EQUAL(std::string(), idle.readAll());
        CPPUNIT_ASSERT_THROW(RawPeer {m_port}, boost::system::system_error);
        pending.responder->respond({200, {}, "done"});
        const std::string answer = busy.readAll();
        CPPUNIT_ASSERT(contains(answer, "Connection: close"));
        CPPUNIT_ASSERT(answer.ends_with("done"));
    }

    // A planned stop must not cut off requests, on new or kept-alive connections, without a
    // response.
    void requestsSentDuringStopAreAnswered()
    {
        RawPeer kept(m_port);
        kept.write(getRoot);
        m_requests.take().responder->respond({204, {}, {}});
        kept.readUntil("\r\n\r\n");
        RawPeer waiting(m_port);
        waiting.write(getRoot);
        kept.write(getRoot);
        m_server->stopAccepting();
        for (int i = 0; i < 2; ++i)
            m_requests.take().responder->respond({200, {}, "done"});
        for (RawPeer *peer : {&kept, &waiting}) {
            const std::string answer = peer->readAll();
            CPPUNIT_ASSERT(contains(answer, "Connection: close"));
            CPPUNIT_ASSERT(answer.ends_with("done"));
        }
    }

    // Guards against requests without an answer that have arrived whole, on connections that nobody
    // has accepted, in a process without processor time that closes its port and idle connections.
    void requestsInTheBacklogOfAStoppedServerAreAnswered()
    {
        m_pool->stop();
        std::vector<std::unique_ptr<RawPeer>> peers;
        for (int i = 0; i < 100; ++i) {
            peers.push_back(std::make_unique<RawPeer>(m_port));
            peers.back()->write(getRoot);
        }
        m_server->stopAccepting();
        m_server->closeIdle();
        m_pool->context().restart();
        for (std::size_t i = 0; i < peers.size(); ++i) {
            waitUntil(
                [this] { return m_pool->context().poll_one() == 0 && !m_requests.isEmpty(); });
            m_requests.take().responder->respond({200, {}, "done"});
        }
        m_pool->context().poll();
        for (const auto &peer : peers)
            CPPUNIT_ASSERT(peer->readUntil("done").ends_with("done"));
    }

    // Guards against a connection that is established, but reset as the port is closed before it is
    // accepted.
    void attemptsBeforeThePortIsClosedAreNotEstablished()
    {
        CPPUNIT_ASSERT(m_server->ignoreNewConnections());
        auto attempt = std::async(std::launch::async, [this] { RawPeer {m_port}; });
        waitFor(shortTimeout);
        m_server->stopAccepting();
        CPPUNIT_ASSERT_THROW(attempt.get(), boost::system::system_error);
    }

    // A caller that connected last must not be cut because it takes a while until it sends.
    void newConnectionsOfAStoppedServerMaySend()
    {
        RawPeer used(m_port);
        used.write(getRoot);
        m_requests.take().responder->respond({204, {}, {}});
        used.readUntil("\r\n\r\n");
        waitUntil([this] { return m_server->expectedRequestCount() == 0; });
        RawPeer late(m_port);
        waitUntil([this] { return m_server->expectedRequestCount() == 1; });
        m_server->stopAccepting();
        waitFor(shortTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_server->expectedRequestCount());
        late.write(getRoot);
        const PendingRequest pending = m_requests.take();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_server->expectedRequestCount());
        m_server->closeIdle();
        pending.responder->respond({200, {}, "done"});
        CPPUNIT_ASSERT(late.readAll().ends_with("done"));
    }

    // A caller whose request is still arriving when the process ends must learn that it did not
    // run.
    void stoppedServerRefusesPartsOfRequests()
    {
        const std::string_view part =
            "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbo";
        RawPeer peer(m_port);
        peer.write(part);
        peer.readUntil("\r\n\r\n");
        m_server->stopAccepting();
        m_server->closeIdle();
        const std::string answer = peer.readAll();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(contains(answer, "Retry-After: 0"));
        CPPUNIT_ASSERT(m_requests.isEmpty());
        assertCut(ConnectionCut::Cause::Stop, ConnectionCut::Phase::Body, part.size(), 0);
    }

    // Guards against a connection that is cut with its request under way: the handler of its idle
    // limit was queued already when the request was read.
    void requestsAtTheIdleLimitAreAnswered()
    {
        for (int round = 1; round <= 8; ++round) {
            const std::chrono::microseconds lead(100 * round);
            setIdleTimeout(shortTimeout);
            std::vector<std::chrono::steady_clock::time_point> limitsAt;
            const auto peers = idlePeers(&limitsAt);
            for (std::size_t i = 0; i < peers.size(); ++i) {
                const auto writeAt = limitsAt[i] - lead;
                waitUntil([writeAt] { return std::chrono::steady_clock::now() >= writeAt; });
                peers[i]->write(numberedRequest(i));
            }
            assertReceivedAreAnswered(peers);
            tearDown();
            setUp();
        }
    }

    // As above, for the close of idle connections at a stop.
    void requestsAtTheCloseOfIdleConnectionsAreAnswered()
    {
        for (std::size_t round = 1; round <= 8; ++round) {
            const auto peers = idlePeers(nullptr);
            m_server->stopAccepting();
            for (std::size_t i = 0; i < peers.size(); ++i) {
                peers[i]->write(numberedRequest(i));
                if (i == 10 * round)
                    m_server->closeIdle();
            }
            assertReceivedAreAnswered(peers);
            tearDown();
            setUp();
        }
    }

    // Guards against a request that crosses the close of its idle connection and is read and
    // discarded, so that its caller waits for an answer until the process ends.
    void requestsAfterTheCloseOfIdleConnectionsAreNotRead()
    {
        const auto peers = idlePeers(nullptr);
        m_server->stopAccepting();
        m_server->closeIdle();
        assertLateRequestsAreReset(peers);
    }

    // As above, at the idle limit.
    void requestsAfterTheIdleLimitAreNotRead()
    {
        const auto peers = idlePeers(nullptr);
        setIdleTimeout(shortTimeout);
        for (const auto &peer : peers) {
            peer->write(getRoot); // shorter limits hold for what begins later
            m_requests.take().responder->respond({204, {}, {}});
            peer->readUntil("\r\n\r\n");
        }
        assertLateRequestsAreReset(peers);
    }

    // Guards against a connection that stays open because the first part of a request waited unread
    // when idle connections were closed.
    void requestsThatArriveInPiecesDuringTheCloseAreRefused()
    {
        const auto peers = idlePeers(nullptr);
        m_server->stopAccepting();
        for (const auto &peer : peers)
            peer->write(getRoot.substr(0, 20));
        m_server->closeIdle();
        for (const auto &peer : peers)
            CPPUNIT_ASSERT(peer->readAll().starts_with("HTTP/1.1 503 "));
    }

    // Guards against a request without an answer because its handler waits for a queue that lags
    // behind the end of the process.
    void requestsAreRefusedWithoutTheHandler()
    {
        RawPeer kept(m_port);
        kept.write(getRoot);
        m_requests.take().responder->respond({204, {}, {}});
        kept.readUntil("\r\n\r\n");
        m_server->refuseRequests();
        kept.write(getRoot);
        const std::string answer = kept.readAll();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(contains(answer, "Retry-After: 0"));
        CPPUNIT_ASSERT(contains(answer, "Connection: close"));
        CPPUNIT_ASSERT(m_requests.isEmpty());
        assertCut(ConnectionCut::Cause::Stop, ConnectionCut::Phase::Refused, getRoot.size(), 0);
    }

    // Guards against a process that ends while a connection still awaits its request's answer, and
    // against one that waits for callers who keep connections open after their last answer.
    void connectionsWithTheirLastResponseAreNotUsable()
    {
        m_server->disableKeepAlive();
        RawPeer peer(m_port);
        waitUntil([this] { return m_server->usableConnectionCount() == 1; });
        peer.write(getRoot);
        const PendingRequest pending = m_requests.take();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_server->usableConnectionCount());
        pending.responder->respond({204, {}, {}});
        peer.readAll();
        waitUntil([this] { return m_server->usableConnectionCount() == 0; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_server->openConnectionCount());
    }

    // A restarted process must be able to bind its port again.
    void closedServerReleasesItsPort()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        const PendingRequest pending = m_requests.take();
        pending.responder->onDisconnect([this] { m_disconnects.put(1); });
        Http1Server second(*m_pool, {"127.0.0.1", m_port}, smallLimits, {});
        CPPUNIT_ASSERT(second.listen().error().code == ErrorCode::Unavailable);
        m_server->close();
        CPPUNIT_ASSERT_EQUAL(m_port, second.listen().value());
        m_disconnects.take();
        CPPUNIT_ASSERT_EQUAL(std::string(), peer.readAll());
    }

    // A header value with a line break, taken from outside, must not inject a second response.
    void lineBreaksInHeadersAreNotSent()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        m_requests.take().responder->respond({200, {{"A", "x\r\nB: y"}, {"C", "z"}}, "#"});
        const std::string answer = peer.readUntil("#");
        CPPUNIT_ASSERT(!contains(answer, "B: y"));
        CPPUNIT_ASSERT(contains(answer, "C: z"));
    }

    // A load balancer keeps sending connections for a while. They must not be refused, and callers
    // must not keep using a connection of a server that is about to stop.
    void connectionsAreAcceptedWithoutKeepAlive()
    {
        m_server->disableKeepAlive();
        RawPeer peer(m_port);
        peer.write(getRoot);
        m_requests.take().responder->respond({200, {}, "answer"});
        const std::string response = peer.readAll();
        CPPUNIT_ASSERT(contains(response, "Connection: close"));
        CPPUNIT_ASSERT(contains(response, "answer"));
    }

    // A caller must not occupy a connection with a head that it never finishes.
    void unfinishedHeadTimesOut()
    {
        HttpLimits limits = smallLimits;
        limits.headerTimeout = std::chrono::milliseconds(50);
        m_server->setLimits(limits);
        RawPeer peer(m_port);
        peer.write("GET / HTTP/1.1\r\n");
        assertTimeoutResponse(peer);
    }

    // A caller whose body is slow sends all of it and waits for an answer.
    void unfinishedBodyIsRefused()
    {
        setIdleTimeout(std::chrono::milliseconds(50));
        RawPeer peer(m_port);
        peer.write("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo");
        m_cuts.take();
        peer.write("dy");
        assertTimeoutResponse(peer);
        CPPUNIT_ASSERT(m_requests.isEmpty());
    }

    // A request that gets no answer must leave a trace.
    void timeLimitsThatCutRequestsAreReported()
    {
        HttpLimits limits = smallLimits;
        limits.headerTimeout = std::chrono::milliseconds(50);
        limits.idleTimeout = std::chrono::milliseconds(60);
        m_server->setLimits(limits);
        RawPeer head(m_port);
        head.write("GET / HTTP/1.1\r\n");
        assertCut(ConnectionCut::Cause::HeaderTimeout, ConnectionCut::Phase::Head, 16, 50);
        const std::string_view part = "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo";
        RawPeer body(m_port);
        body.write(part);
        assertCut(ConnectionCut::Cause::IdleTimeout, ConnectionCut::Phase::Body, part.size(), 60);
    }

    // As above: the caller leaves, or the process ends.
    void requestsOfLostConnectionsAreReported()
    {
        RawPeer leaving(m_port);
        leaving.write(getRoot);
        const PendingRequest first = m_requests.take();
        leaving.close();
        assertCut(ConnectionCut::Cause::CallerClosed, ConnectionCut::Phase::Response,
                  getRoot.size(), 0);
        RawPeer peer(m_port);
        peer.write(getRoot);
        const PendingRequest second = m_requests.take();
        m_server->close();
        assertCut(ConnectionCut::Cause::Stop, ConnectionCut::Phase::Response, getRoot.size(), 0);
    }

    // As above: the request has arrived, but a busy process has not read it.
    void unreadRequestsOfAClosedServerAreReported()
    {
        WorkerPool pool(1);
        Http1Server server(
            pool, Endpoint {"127.0.0.1", 0}, smallLimits,
            [](const HttpRequest &, const std::shared_ptr<Http1Responder> &responder) {
                responder->respond({204, {}, {}});
            });
        Mailbox<ConnectionCut> cuts;
        server.onConnectionCut([&cuts](const ConnectionCut &cut) { cuts.put(cut); });
        RawPeer peer(server.listen().value());
        peer.write(getRoot);
        peer.readUntil("\r\n\r\n");
        // The peer may have the answer before the server has ended the request.
        waitUntil([&server] { return server.openRequestCount() == 0; });
        Mailbox<bool> begun;
        Mailbox<bool> mayGoOn;
        pool.post([&] {
            begun.put(true);
            mayGoOn.take();
        });
        begun.take();
        server.close();
        peer.write(getRoot);
        waitUntil([&peer] { return peer.isAcknowledged(); });
        mayGoOn.put(true);
        const ConnectionCut cut = cuts.take();
        CPPUNIT_ASSERT_EQUAL(std::string_view("unread"), connectionCutPhaseName(cut.phase));
        CPPUNIT_ASSERT_EQUAL(getRoot.size(), cut.arrivedBytes);
        pool.stop();
    }

    // Reports of connections that are closed in order would hide the others.
    void idleConnectionsAreNotReported()
    {
        HttpLimits limits = smallLimits;
        limits.idleTimeout = std::chrono::milliseconds(50);
        m_server->setLimits(limits);
        RawPeer unused(m_port);
        RawPeer used(m_port);
        used.write(getRoot);
        m_requests.take().responder->respond({204, {}, {}});
        CPPUNIT_ASSERT(used.readAll().starts_with("HTTP/1.1 204 "));
        CPPUNIT_ASSERT_EQUAL(std::string(), unused.readAll());
        RawPeer(m_port).close();
        waitUntil([this] { return m_server->openConnectionCount() == 0; });
        CPPUNIT_ASSERT(m_cuts.isEmpty());
    }

    // Guards against work for every connection at each of many configurations with the same limits.
    void unchangedLimitsCostIdleConnectionsNothing()
    {
        RawPeer first(m_port);
        RawPeer second(m_port);
        waitUntil([this] { return m_server->openConnectionCount() == 2; });
        m_server->setLimits(smallLimits);
        m_pool->stop();
        runQueuedTasks();
        m_server->setLimits(smallLimits);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), runQueuedTasks());
        HttpLimits longer = smallLimits;
        longer.idleTimeout *= 2;
        m_server->setLimits(longer);
        CPPUNIT_ASSERT(runQueuedTasks() >= 2);
    }

    // Callers use a connection within the limit in force, and would find it closed.
    void longerIdleLimitReachesIdleConnections()
    {
        setIdleTimeout(shortTimeout);
        RawPeer peer(m_port);
        peer.write(getRoot);
        m_requests.take().responder->respond({204, {}, {}});
        peer.readUntil("\r\n\r\n");
        setIdleTimeout(std::chrono::seconds(60));
        waitFor(2 * shortTimeout);
        peer.write(getRoot);
        m_requests.take().responder->respond({204, {}, {}});
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 204 "));
    }

    // Guards against the close of a connection whose caller relies on the longer limit in force:
    // the process had no processor time, and the timer of the shorter limit was queued already.
    void longerIdleLimitHoldsForQueuedTimers()
    {
        setIdleTimeout(shortTimeout);
        std::vector<std::unique_ptr<RawPeer>> peers;
        for (int i = 0; i < 4; ++i) {
            peers.push_back(std::make_unique<RawPeer>(m_port));
            peers.back()->write(getRoot);
            m_requests.take().responder->respond({204, {}, {}});
            peers.back()->readUntil("\r\n\r\n");
        }
        m_pool->stop();
        const auto endsAt = std::chrono::steady_clock::now() + 2 * shortTimeout;
        waitUntil([endsAt] { return std::chrono::steady_clock::now() >= endsAt; });
        m_pool->context().restart();
        while (m_server->usableConnectionCount() == peers.size())
            m_pool->context().poll_one();
        const std::size_t count = m_server->usableConnectionCount();
        CPPUNIT_ASSERT(count > 0);
        setIdleTimeout(std::chrono::seconds(60));
        m_pool->context().poll();
        CPPUNIT_ASSERT_EQUAL(count, m_server->usableConnectionCount());
    }

    // A body that keeps to the limit in force must not be cut.
    void longerIdleLimitReachesBodiesInProgress()
    {
        setIdleTimeout(shortTimeout);
        RawPeer peer(m_port);
        peer.write("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbo");
        peer.readUntil("\r\n\r\n");
        setIdleTimeout(std::chrono::seconds(60));
        waitFor(2 * shortTimeout);
        peer.write("dy");
        CPPUNIT_ASSERT_EQUAL(std::string("body"), m_requests.take().request.body);
    }

    // Callers that have kept a connection under the longer limit rely on it.
    void shorterIdleLimitSparesIdleConnections()
    {
        RawPeer peer(m_port);
        peer.write(getRoot);
        m_requests.take().responder->respond({204, {}, {}});
        peer.readUntil("\r\n\r\n");
        setIdleTimeout(shortTimeout);
        waitFor(2 * shortTimeout);
        peer.write(getRoot);
        m_requests.take().responder->respond({204, {}, {}});
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 204 "));
        CPPUNIT_ASSERT_EQUAL(std::string(), peer.readAll());
    }

    // A kept-alive connection must not keep the header and body limits of an old configuration.
    void requestHasTheSizesInForceWhenItBegins()
    {
        const std::string body(5000, 'x');
        const std::string request = "POST / HTTP/1.1\r\nLong: " + std::string(2000, 'x')
            + "\r\nContent-Length: 5000\r\n\r\n" + body;
        RawPeer peer(m_port);
        peer.write(getRoot);
        m_requests.take().responder->respond({204, {}, {}});
        peer.readUntil("\r\n\r\n");
        m_server->setLimits({4096, 8192, std::chrono::seconds(60)});
        peer.write(request);
        const PendingRequest pending = m_requests.take();
        CPPUNIT_ASSERT_EQUAL(body, pending.request.body);
        pending.responder->respond({204, {}, {}});
        peer.readUntil("\r\n\r\n");
        m_server->setLimits(smallLimits);
        peer.write(request);
        CPPUNIT_ASSERT(peer.readAll().starts_with("HTTP/1.1 431 "));
    }

    // A caller that reads steadily must not be cut because the socket's buffer takes megabytes at
    // once.
    void slowReaderGetsTheWholeResponse()
    {
        setIdleTimeout(shortTimeout);
        RawPeer peer(m_port, 65'536);
        peer.write(getRoot);
        m_requests.take().responder->respond({200, {}, std::string(largeBytes, 'x') + "#"});
        std::size_t size = 0;
        while (size < largeBytes) {
            const std::size_t more = peer.readSome(65'536);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(size) + " bytes read", more > 0);
            size += more;
            waitFor(shortTimeout / 8);
        }
        peer.write(getRoot);
        m_requests.take().responder->respond({204, {}, {}});
        CPPUNIT_ASSERT(m_cuts.isEmpty());
    }

    // A caller must not occupy memory with a response that it never reads.
    void callerThatReadsNothingIsCut()
    {
        setIdleTimeout(shortTimeout);
        RawPeer peer(m_port, 65'536);
        peer.write(getRoot);
        m_requests.take().responder->respond({200, {}, std::string(largeBytes, 'x')});
        assertCut(ConnectionCut::Cause::IdleTimeout, ConnectionCut::Phase::Response, getRoot.size(),
                  400);
    }

    // After a pause of the process, requests had arrived on connections whose idle limit has
    // passed.
    void inputThatWaitedDuringAPauseIsRead()
    {
        WorkerPool pool(1);
        Mailbox<bool> isPaused;
        Mailbox<bool> mayGoOn;
        Http1Server server(
            pool, Endpoint {"127.0.0.1", 0}, smallLimits,
            [&](const HttpRequest &request, const std::shared_ptr<Http1Responder> &responder) {
                if (request.target == "/pause") {
                    isPaused.put(true);
                    mayGoOn.take();
                }
                responder->respond({204, {}, {}});
            });
        const std::uint16_t port = server.listen().value();
        server.setLimits({1024, 4096, std::chrono::seconds(2)});
        std::vector<std::unique_ptr<RawPeer>> peers;
        for (int i = 0; i < 300; ++i) {
            peers.push_back(std::make_unique<RawPeer>(port));
            peers.back()->write(getRoot);
            peers.back()->readUntil("\r\n\r\n");
        }
        peers.front()->write("GET /pause HTTP/1.1\r\nHost: h\r\n\r\n");
        isPaused.take();
        waitFor(std::chrono::milliseconds(2200));
        for (std::size_t i = 1; i < peers.size(); ++i)
            peers[i]->write(getRoot);
        mayGoOn.put(true);
        for (const auto &peer : peers)
            CPPUNIT_ASSERT(peer->readUntil("\r\n\r\n").starts_with("HTTP/1.1 204 "));
        pool.stop();
    }

private:
    /// \brief Runs what is queued on the stopped pool and returns the number of tasks.
    std::size_t runQueuedTasks()
    {
        m_pool->context().restart();
        return m_pool->context().poll();
    }

    // A request with \a fields, and another one in place of its body, gets one response.
    void assertRefused(const std::string &status, const std::string &fields)
    {
        RawPeer peer(m_port);
        peer.write("POST /a HTTP/1.1\r\nHost: h\r\n" + fields
                   + "\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string answer = peer.readAll();
        CPPUNIT_ASSERT_MESSAGE(fields + answer, answer.starts_with("HTTP/1.1 " + status + ' '));
        CPPUNIT_ASSERT_EQUAL(answer.find("HTTP/1.1"), answer.rfind("HTTP/1.1"));
        CPPUNIT_ASSERT_MESSAGE(fields, m_requests.isEmpty());
    }

    static void assertTimeoutResponse(RawPeer &peer)
    {
        const std::string answer = peer.readAll();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 408 "));
        CPPUNIT_ASSERT(contains(answer, "Connection: close"));
        CPPUNIT_ASSERT(contains(answer, "\"status\":408"));
    }

    void setIdleTimeout(std::chrono::milliseconds timeout)
    {
        HttpLimits limits = smallLimits;
        limits.idleTimeout = timeout;
        m_server->setLimits(limits);
    }

    void waitFor(std::chrono::milliseconds time)
    {
        Timer timer(*m_pool);
        Mailbox<bool> over;
        timer.once(time, [&over] { over.put(true); });
        over.take();
    }

    void assertCut(ConnectionCut::Cause cause, ConnectionCut::Phase phase, std::size_t bytes,
                   int minAgeMs)
    {
        const ConnectionCut cut = m_cuts.take();
        CPPUNIT_ASSERT_EQUAL(connectionCutCauseName(cause), connectionCutCauseName(cut.cause));
        CPPUNIT_ASSERT_EQUAL(connectionCutPhaseName(phase), connectionCutPhaseName(cut.phase));
        CPPUNIT_ASSERT_EQUAL(bytes, cut.arrivedBytes);
        CPPUNIT_ASSERT(cut.age >= std::chrono::milliseconds(minAgeMs));
    }

    static std::string numberedRequest(std::size_t number)
    {
        return "GET /" + std::to_string(number) + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    // A hundred kept-alive connections, and when the idle limit of each expires.
    std::vector<std::unique_ptr<RawPeer>>
    idlePeers(std::vector<std::chrono::steady_clock::time_point> *limitsAt)
    {
        std::vector<std::unique_ptr<RawPeer>> peers;
        for (int i = 0; i < 100; ++i) {
            peers.push_back(std::make_unique<RawPeer>(m_port));
            peers.back()->write("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
            m_requests.take().responder->respond({204, {}, {}});
            peers.back()->readUntil("\r\n\r\n");
            if (limitsAt)
                limitsAt->push_back(std::chrono::steady_clock::now() + shortTimeout);
        }
        return peers;
    }

    // All connections end, so that reading them shows which requests were answered.
    void assertReceivedAreAnswered(const std::vector<std::unique_ptr<RawPeer>> &peers)
    {
        // The server handles what has arrived before it answers the first one.
        waitFor(std::chrono::milliseconds(50));
        std::set<std::string> received;
        while (!m_requests.isEmpty()) {
            PendingRequest pending = m_requests.take();
            received.insert(pending.request.target.substr(1));
            pending.responder->respond({200, {}, pending.request.target});
        }
        std::string unanswered;
        for (std::size_t i = 0; i < peers.size(); ++i) {
            const std::string number = std::to_string(i);
            if (received.contains(number) && !peers[i]->readAll().starts_with("HTTP/1.1 200 "))
                unanswered += number + " ";
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(received.size()) + " received", std::string(),
                                     unanswered);
        CPPUNIT_ASSERT_MESSAGE("a request was read and discarded", m_cuts.isEmpty());
    }

    // Each caller sees the end of its connection and sends a request nevertheless.
    void assertLateRequestsAreReset(const std::vector<std::unique_ptr<RawPeer>> &peers)
    {
        for (const auto &peer : peers)
            CPPUNIT_ASSERT_EQUAL(std::string(), peer->readAll());
        for (const auto &peer : peers)
            peer->write(getRoot);
        for (const auto &peer : peers)
            CPPUNIT_ASSERT(!peer->tryWrite(getRoot, shortTimeout));
        CPPUNIT_ASSERT(m_requests.isEmpty());
        CPPUNIT_ASSERT(m_cuts.isEmpty());
    }

    std::optional<WorkerPool> m_pool;
    Mailbox<PendingRequest> m_requests;
    Mailbox<int> m_disconnects;
    Mailbox<ConnectionCut> m_cuts;
    std::optional<Http1Server> m_server;
    std::uint16_t m_port = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http1ServerTest);
