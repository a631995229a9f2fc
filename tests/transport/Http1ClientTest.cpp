#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/Http1Stream.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Http1ClientExchange.h"
#include "Mailbox.h"
#include "RawPeer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>

#include <optional>
#include <stdexcept>

using namespace foxtailring;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds longTimeout {20'000};
constexpr std::string_view duplicateThenResponse =
    "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 3\r\n\r\nold"
    "HTTP/1.1 201 Created\r\nid: 2\r\nContent-Length: 3\r\n\r\nnew";

// Records the events of a streamed response.
class StreamEvents
{
public:
    StreamHooks hooks()
    {
        // Hooks may run after a failed test has left its scope, so they share the state.
        return {[state = m_state](const HttpResponse &head) { state->status = head.status; },
                [state = m_state](std::string_view bytes) {
                    state->body += bytes;
                    state->sizes.put(state->body.size());
                },
                [state = m_state](Result<Done> result) { state->closed.put(std::move(result)); }};
    }

    // Status and body are valid once closed() has returned.
    int status() const { return m_state->status; }
    const std::string &body() const { return m_state->body; }
    void waitForBody(std::size_t size)
    {
        while (m_state->sizes.take() < size) { }
    }
    Result<Done> closed() { return m_state->closed.take(); }
    bool isClosedAgain() const { return !m_state->closed.isEmpty(); }

private:
    struct State
    {
        int status = 0;
        std::string body;
        Mailbox<std::size_t> sizes;
        Mailbox<Result<Done>> closed;
    };
    std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace

class Http1ClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(Http1ClientTest);
    CPPUNIT_TEST(requestGetsWholeResponse);
    CPPUNIT_TEST(largeBodiesPassBothWays);
    CPPUNIT_TEST(headResponseHasNoBody);
    CPPUNIT_TEST(responseIsStreamed);
    CPPUNIT_TEST(streamCutInTheMiddleIsClosed);
    CPPUNIT_TEST(cancelledStreamDisconnects);
    CPPUNIT_TEST(silentServerTimesOut);
    CPPUNIT_TEST(refusedConnectionIsUnavailable);
    CPPUNIT_TEST(connectionIsReused);
    CPPUNIT_TEST(closedIdleConnectionIsReplaced);
    CPPUNIT_TEST(requestIsNotSentAgainAfterLostResponse);
    CPPUNIT_TEST(truncatedResponseIsClosed);
    CPPUNIT_TEST(malformedResponseIsReported);
    CPPUNIT_TEST(interimResponseIsSkipped);
    CPPUNIT_TEST(bodyMayEndWithTheConnection);
    CPPUNIT_TEST(unsendableRequestIsRejected);
    CPPUNIT_TEST(responseToAnotherRequestIsSkipped);
    CPPUNIT_TEST(responseToAnotherRequestMayComeInPieces);
    CPPUNIT_TEST(bodyMayFollowInALaterRead);
    CPPUNIT_TEST(lastChunkMayComeInPieces);
    CPPUNIT_TEST(trailerIsNoHeader);
    CPPUNIT_TEST(duplicateResponseBeforeCloseIsAnError);
    CPPUNIT_TEST(idleConnectionWithInputIsNotReused);
    CPPUNIT_TEST(streamedConnectionIsReused);
    CPPUNIT_TEST(connectionIsNotReusedAfterHalfOfKeepAliveTimeout);
    CPPUNIT_TEST(keepAliveParameterIsReadInAnyCase);
    CPPUNIT_TEST(hugeKeepAliveTimeoutIsNoError);
    CPPUNIT_TEST(invalidStatusIsAnError);
    CPPUNIT_TEST(unknownFramingIsAnError);
    CPPUNIT_TEST(endlessInterimResponsesAreAnError);
    CPPUNIT_TEST(endlessResponseToAnotherRequestIsAnError);
    CPPUNIT_TEST(headInPiecesIsLimited);
    CPPUNIT_TEST(oversizedResponseBodyIsAnError);
    CPPUNIT_TEST(firstResponseOfAConnectionIsToldFromLaterOnes);
    CPPUNIT_TEST(connectionIsNotReusedAgainstTheHook);
    CPPUNIT_TEST(throwingHookEndsTheExchange);
    CPPUNIT_TEST(unacknowledgedRequestTimesOut);
    CPPUNIT_TEST(idleConnectionIsNotKeptAgainstTheHook);
    CPPUNIT_TEST(idleConnectionsOfAQuietClientAreClosed);
    CPPUNIT_TEST(idleConnectionsToOneEndpointCanBeClosed);
    CPPUNIT_TEST(writeThatFailsWholeIsNotSent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool.emplace(3);
        m_client.emplace(*m_pool);
    }

    void tearDown() override
    {
        m_pool->stop();
        m_server.reset();
        m_client.reset();
        m_pool.reset();
    }

    void requestGetsWholeResponse()
    {
        startServer(
            [](const HttpRequest &request, const std::shared_ptr<Http1Responder> &responder) {
                const std::string seen = request.method + ' ' + request.target + ' '
                    + std::string(request.header("x-name")) + ' ' + request.body;
                responder->respond({201, {{"X-Back", "value"}}, seen});
            });
        for (int i = 0; i < 3; ++i) {
            send({"PUT", "/path?q=1", {{"X-Name", "n"}}, "body"});
            const HttpResponse response = m_responses.take().value();
            CPPUNIT_ASSERT_EQUAL(201, response.status);
            CPPUNIT_ASSERT_EQUAL(std::string("PUT /path?q=1 n body"), response.body);
            CPPUNIT_ASSERT_EQUAL(std::string("value"), std::string(response.header("x-back")));
        }
    }

    void largeBodiesPassBothWays()
    {
        startServer([](HttpRequest request, const std::shared_ptr<Http1Responder> &responder) {
            responder->respond({200, {}, std::move(request.body)});
        });
        const std::string body(5'000'000, 'z');
        for (int i = 0; i < 4; ++i)
            send({"POST", "/", {}, body});
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(m_responses.take().value().body == body);
    }

    void headResponseHasNoBody()
    {
        startServer([](const HttpRequest &, const std::shared_ptr<Http1Responder> &responder) {
            responder->respond({200, {}, "12345"});
        });
        send({"HEAD", "/", {}, {}});
        const HttpResponse response = m_responses.take().value();
        CPPUNIT_ASSERT_EQUAL(std::string("5"), std::string(response.header("Content-Length")));
        CPPUNIT_ASSERT(response.body.empty());
    }

    void responseIsStreamed()
    {
        std::string expected;
        for (int i = 0; i < 500; ++i)
            expected += std::to_string(i) + ' ';
        startServer([](const HttpRequest &, const std::shared_ptr<Http1Responder> &responder) {
            responder->startStream(200, {{"Content-Type", "text/event-stream"}});
            for (int i = 0; i < 500; ++i)
                responder->write(std::to_string(i) + ' ');
            responder->finish();
        });
        StreamEvents events;
        m_client->stream(m_endpoint, {"GET", "/", {}, {}}, events.hooks());
        CPPUNIT_ASSERT(events.closed().isOk());
        CPPUNIT_ASSERT_EQUAL(200, events.status());
        CPPUNIT_ASSERT_EQUAL(expected, events.body());
    }

    // A response that is cut off must not be taken for a complete one.
    void streamCutInTheMiddleIsClosed()
    {
        RawServer server;
        StreamEvents events;
        m_client->stream({"127.0.0.1", server.port()}, {"GET", "/", {}, {}}, events.hooks());
        RawPeer peer = server.accept();
        peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n9\r\nwor");
        events.waitForBody(8);
        peer.close();
        CPPUNIT_ASSERT(events.closed().error().code == ErrorCode::Closed);
        CPPUNIT_ASSERT_EQUAL(std::string("hellowor"), events.body());
    }

    void cancelledStreamDisconnects()
    {
        Mailbox<int> gone;
        startServer([&gone](const HttpRequest &, const std::shared_ptr<Http1Responder> &responder) {
            responder->onDisconnect([&gone, responder] { gone.put(1); });
            responder->startStream(200, {});
            responder->write("x");
        });
        StreamEvents events;
        const auto stream = m_client->stream(m_endpoint, {"GET", "/", {}, {}}, events.hooks());
        events.waitForBody(1);
        stream->cancel();
        stream->cancel();
        CPPUNIT_ASSERT(events.closed().error().code == ErrorCode::Closed);
        gone.take();
        CPPUNIT_ASSERT(!events.isClosedAgain());
    }

    void silentServerTimesOut()
    {
        RawServer server;
        m_endpoint = {"127.0.0.1", server.port()};
        send({"POST", "/", {}, {}}, milliseconds(50));
        RawPeer peer = server.accept();
        CPPUNIT_ASSERT(m_responses.take().error().code == ErrorCode::Timeout);
        CPPUNIT_ASSERT(
            peer.readAll().starts_with("POST / ")); // returns after the client has closed
    }

    void refusedConnectionIsUnavailable()
    {
        m_endpoint = {"127.0.0.1", RawServer().port()};
        send({"POST", "/", {}, {}});
        CPPUNIT_ASSERT(m_responses.take().error().code == ErrorCode::Unavailable);
        StreamEvents events;
        m_client->stream(m_endpoint, {"GET", "/", {}, {}}, events.hooks());
        CPPUNIT_ASSERT(events.closed().error().code == ErrorCode::Unavailable);
    }

    void connectionIsReused()
    {
        RawServer server;
        m_endpoint = {"127.0.0.1", server.port()};
        send({"GET", "/1", {}, {}});
        RawPeer peer = server.accept();
        for (int i = 0; i < 3; ++i) {
            peer.readUntil("\r\n\r\n");
            peer.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
            CPPUNIT_ASSERT_EQUAL(std::string("x"), m_responses.take().value().body);
            send({"GET", "/2", {}, {}});
        }
    }

    // A request must not fail just because the server has closed an idle connection.
    void closedIdleConnectionIsReplaced()
    {
        RawServer server;
        m_endpoint = {"127.0.0.1", server.port()};
        send({"GET", "/1", {}, {}});
        {
            RawPeer peer = server.accept();
            peer.readUntil("\r\n\r\n");
            peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            m_responses.take().value();
        }
        send({"POST", "/2", {}, {}});
        RawPeer peer = server.accept();
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("POST /2 "));
        peer.write("HTTP/1.1 204 No Content\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(204, m_responses.take().value().status);
    }

    // A request that is not idempotent must not run twice.
    void requestIsNotSentAgainAfterLostResponse()
    {
        RawServer server;
        m_endpoint = {"127.0.0.1", server.port()};
        send({"GET", "/1", {}, {}});
        RawPeer peer = server.accept();
        peer.readUntil("\r\n\r\n");
        peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        m_responses.take().value();
        send({"POST", "/2", {}, {}});
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("POST /2 "));
        peer.close();
        CPPUNIT_ASSERT(m_responses.take().error().code == ErrorCode::Closed);
        send({"GET", "/3", {}, {}});
        CPPUNIT_ASSERT(server.accept().readUntil("\r\n\r\n").starts_with("GET /3 "));
    }

    void truncatedResponseIsClosed()
    {
        CPPUNIT_ASSERT(errorAfter("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
                       == ErrorCode::Closed);
        CPPUNIT_ASSERT(errorAfter("HTTP/1.1 200 O") == ErrorCode::Closed);
        CPPUNIT_ASSERT(errorAfter("") == ErrorCode::Closed);
    }

    void malformedResponseIsReported()
    {
        CPPUNIT_ASSERT(errorAfter("nonsense\r\n\r\n") == ErrorCode::Malformed);
        CPPUNIT_ASSERT(errorAfter("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n")
                       == ErrorCode::Malformed);
        CPPUNIT_ASSERT(errorAfter("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
                       == ErrorCode::Malformed);
        CPPUNIT_ASSERT(errorAfter("HTTP/1.1 200 OK\r\nLong: " + std::string(70'000, 'x'))
                       == ErrorCode::Malformed);
    }

    void interimResponseIsSkipped()
    {
        respondWith(
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), m_responses.take().value().body);
    }

    void bodyMayEndWithTheConnection()
    {
        respondWith("HTTP/1.1 200 OK\r\n\r\nall of it");
        CPPUNIT_ASSERT_EQUAL(std::string("all of it"), m_responses.take().value().body);
    }

    // A target with a line break, taken from a caller, must not inject a second request.
    void unsendableRequestIsRejected()
    {
        send({"GET", "/ HTTP/1.1\r\nX: y\r\n\r\n", {}, {}});
        CPPUNIT_ASSERT(m_responses.take().error().code == ErrorCode::InvalidArgument);
    }

    // A faulty server responds twice to one request, and the duplicate arrives as the response to
    // the next request. It must not reach another caller.
    void responseToAnotherRequestIsSkipped()
    {
        RawServer server;
        StreamEvents events;
        const auto peer = openStream(server, events, hooksMatchingId2(events));
        peer->write(duplicateThenResponse);
        assertSecondResponseDelivered(events);
    }

    // A duplicate whose head is split over several reads must not become part of the next response.
    void responseToAnotherRequestMayComeInPieces()
    {
        RawServer server;
        StreamEvents events;
        const auto peer = openStream(server, events, hooksMatchingId2(events));
        for (const char byte : duplicateThenResponse)
            peer->write(std::string(1, byte));
        assertSecondResponseDelivered(events);
    }

    // Guards against an assertion of Beast that ends the process on a rest of four bytes.
    void lastChunkMayComeInPieces()
    {
        RawServer server;
        StreamEvents events;
        const auto peer = openStream(server, events, {});
        peer->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (const std::string_view piece : {"0", "\r", "\n", "\r", "\n"})
            peer->tryWrite(piece, milliseconds(20));
        CPPUNIT_ASSERT(events.closed().isOk());
    }

    // Guards against a trailer that counts as a header when the response arrives whole.
    void trailerIsNoHeader()
    {
        respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "5\r\nwhole\r\n0\r\nid: 2\r\n\r\n");
        const HttpResponse response = m_responses.take().value();
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.body);
        CPPUNIT_ASSERT_EQUAL(std::string(), std::string(response.header("id")));
    }

    // Guards against a sound response that fails because its head ends where a read ends.
    void bodyMayFollowInALaterRead()
    {
        RawServer server;
        StreamEvents events;
        StreamHooks hooks = events.hooks();
        const auto hasHead = std::make_shared<Mailbox<bool>>();
        hooks.onHead = [hasHead](const HttpResponse &) { hasHead->put(true); };
        hooks.onClosed = [hasHead, closed = hooks.onClosed](const Result<Done> &result) {
            hasHead->put(false);
            closed(result);
        };
        const auto peer = openStream(server, events, std::move(hooks));
        peer->write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
        CPPUNIT_ASSERT(hasHead->take());
        peer->write("new");
        CPPUNIT_ASSERT(events.closed().isOk());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), events.body());
    }

    void duplicateResponseBeforeCloseIsAnError()
    {
        RawServer server;
        StreamEvents events;
        {
            const auto peer = openStream(server, events, hooksMatchingId2(events));
            peer->write(
                "HTTP/1.1 200 OK\r\nid: 1\r\nConnection: close\r\nContent-Length: 3\r\n\r\nold");
        }
        CPPUNIT_ASSERT(!events.closed().isOk());
        CPPUNIT_ASSERT_EQUAL(std::string(), events.body());
    }

    // A duplicate response arrives while the connection is idle, before the next request is sent.
    void idleConnectionWithInputIsNotReused()
    {
        RawServer server;
        const auto peer = firstExchange(server, "");
        peer->write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
        StreamEvents second;
        m_client->stream({"127.0.0.1", server.port()}, {"GET", "/2", {}, ""}, second.hooks(),
                         reuseOptions());
        RawPeer other = server.accept();
        CPPUNIT_ASSERT(other.readUntil("\r\n\r\n").starts_with("GET /2"));
    }

    void streamedConnectionIsReused()
    {
        RawServer server;
        const auto peer = firstExchange(server, "");
        StreamEvents second;
        m_client->stream({"127.0.0.1", server.port()}, {"GET", "/2", {}, ""}, second.hooks(),
                         reuseOptions());
        const std::string request = peer->readUntil("\r\n\r\n");
        CPPUNIT_ASSERT(request.starts_with("GET /2"));
        peer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(second.closed().isOk());
    }

    // A request on a connection that the server is about to close would be lost.
    void connectionIsNotReusedAfterHalfOfKeepAliveTimeout()
    {
        RawServer server;
        const auto peer = firstExchange(server, "Keep-Alive: timeout=0\r\n");
        StreamEvents second;
        m_client->stream({"127.0.0.1", server.port()}, {"GET", "/2", {}, ""}, second.hooks(),
                         reuseOptions());
        RawPeer other = server.accept();
        CPPUNIT_ASSERT(other.readUntil("\r\n\r\n").starts_with("GET /2"));
    }

    // Guards against a limit that is overlooked because of its spelling.
    void keepAliveParameterIsReadInAnyCase()
    {
        for (const char *value :
             {"Timeout=0", "max=5, TIMEOUT=0", "max=5,timeout=\"0\"", "max=5, timeout = 0"}) {
            RawServer server;
            const auto peer = firstExchange(server, "Keep-Alive: " + std::string(value) + "\r\n");
            StreamEvents second;
            m_client->stream({"127.0.0.1", server.port()}, {"GET", "/2", {}, ""}, second.hooks(),
                             reuseOptions());
            RawPeer other = server.accept();
            CPPUNIT_ASSERT_MESSAGE(value, other.readUntil("\r\n\r\n").starts_with("GET /2"));
        }
    }

    // Guards against arithmetic on a server's number that overflows.
    void hugeKeepAliveTimeoutIsNoError()
    {
        for (const char *seconds : {"9223372036854775807", "99999999999999999999"}) {
            RawServer server;
            const auto peer =
                firstExchange(server, "Keep-Alive: timeout=" + std::string(seconds) + "\r\n");
            StreamEvents second;
            m_client->stream({"127.0.0.1", server.port()}, {"GET", "/2", {}, ""}, second.hooks(),
                             reuseOptions());
            CPPUNIT_ASSERT(peer->readUntil("\r\n\r\n").starts_with("GET /2"));
        }
    }

    // A server that keeps sending interim heads must not hold the exchange until its deadline.
    void endlessInterimResponsesAreAnError()
    {
        RawServer server;
        StreamEvents events;
        const auto peer = openStream(server, events, {});
        for (int i = 0; i < 1000; ++i)
            peer->write("HTTP/1.1 103 Early Hints\r\n\r\n");
        CPPUNIT_ASSERT(events.closed().error().code == ErrorCode::Malformed);
    }

    // Guards against an answer that nobody can read and that its caller gets as 500, signed.
    void invalidStatusIsAnError()
    {
        for (const std::string status :
             {"900", "999", "700", "600", "042", "099", "000", "20", "2000", "2x0", "-20"}) {
            const std::string answer = "HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok";
            RawServer server;
            StreamEvents events;
            openStream(server, events, {})->write(answer);
            CPPUNIT_ASSERT_MESSAGE(status, events.closed().error().code == ErrorCode::Malformed);
            CPPUNIT_ASSERT_EQUAL(0, events.status());
            CPPUNIT_ASSERT_MESSAGE(status,
                                   requestOnce(answer).error().code == ErrorCode::Malformed);
        }
    }

    // Guards against a body whose coding no caller is told of, and whose end is in doubt.
    void unknownFramingIsAnError()
    {
        for (const std::string fields :
             {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
              "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: chunked;a=1\r\n",
              "Transfer-Encoding:\r\n", "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n",
              "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
              "Content-Length: 2\r\nContent-Length: 3\r\n"}) {
            const std::string answer = "HTTP/1.1 200 OK\r\n" + fields + "\r\nok";
            RawServer server;
            StreamEvents events;
            openStream(server, events, {})->write(answer);
            CPPUNIT_ASSERT_MESSAGE(fields, events.closed().error().code == ErrorCode::Malformed);
            CPPUNIT_ASSERT_EQUAL(0, events.status());
            CPPUNIT_ASSERT_MESSAGE(fields,
                                   requestOnce(answer).error().code == ErrorCode::Malformed);
        }
    }

    // An endless response to another request must not be read forever.
    void endlessResponseToAnotherRequestIsAnError()
    {
        RawServer server;
        StreamEvents events;
        StreamHooks hooks = events.hooks();
        hooks.matchesRequest = [](const HttpResponse &, bool) { return false; };
        const auto peer = openStream(server, events, std::move(hooks));
        peer->write("HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n");
        const std::string piece(64 * 1024, 'x');
        for (int i = 0; i < 32; ++i)
            peer->write(piece);
        CPPUNIT_ASSERT(events.closed().error().code == ErrorCode::Malformed);
    }

    // Guards against a head without end: the parser's limit is on what it holds of the next field.
    void headInPiecesIsLimited()
    {
        RawServer server;
        StreamEvents events;
        const auto peer = openStream(server, events, {});
        peer->write("HTTP/1.1 200 OK\r\nN");
        for (int i = 0; i < 100; ++i)
            peer->tryWrite("ame: " + std::string(1000, 'x') + "\r\nN", milliseconds(1));
        peer->write("ame: x\r\nContent-Length: 0\r\n\r\n");
        const Result<Done> result = events.closed();
        CPPUNIT_ASSERT(!result.isOk() && result.error().code == ErrorCode::Malformed);
    }

    // A short request must not fill the memory with a huge response.
    void oversizedResponseBodyIsAnError()
    {
        RawServer server;
        Mailbox<Result<HttpResponse>> answers;
        ExchangeOptions options;
        options.maxBodyBytes = 1000;
        m_client->request(
            {"127.0.0.1", server.port()}, {"GET", "/", {}, ""}, longTimeout,
            [&answers](Result<HttpResponse> answer) { answers.put(std::move(answer)); }, options);
        RawPeer peer = server.accept();
        peer.readUntil("\r\n\r\n");
        peer.write("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + std::string(2000, 'x'));
        CPPUNIT_ASSERT(answers.take().error().code == ErrorCode::Malformed);
    }

    // Guards against trust in a response without an id on a connection that was used before, or
    // that has already carried a response to another request.
    void firstResponseOfAConnectionIsToldFromLaterOnes()
    {
        RawServer server;
        const auto firsts = std::make_shared<Mailbox<bool>>();
        const auto hooks = [firsts](StreamEvents &events) {
            StreamHooks out = events.hooks();
            out.matchesRequest = [firsts](const HttpResponse &head, bool isFirst) {
                firsts->put(isFirst);
                return head.header("id") == "2";
            };
            return out;
        };
        StreamEvents first;
        const auto peer = openStream(server, first, hooks(first));
        peer->write(duplicateThenResponse);
        CPPUNIT_ASSERT(first.closed().isOk());
        CPPUNIT_ASSERT(firsts->take());
        CPPUNIT_ASSERT(!firsts->take());

        const auto reused = firstExchange(server, "");
        StreamEvents second;
        m_client->stream({"127.0.0.1", server.port()}, {"GET", "/2", {}, ""}, hooks(second),
                         reuseOptions());
        reused->readUntil("\r\n\r\n");
        reused->write("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nid: 2\r\n"
                      "Content-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(second.closed().isOk());
        CPPUNIT_ASSERT(!firsts->take());
    }

    // Guards against a refusal that is written once more to a connection in use again.
    void connectionIsNotReusedAgainstTheHook()
    {
        RawServer server;
        StreamEvents events;
        StreamHooks hooks = events.hooks();
        hooks.allowsReuse = [](const HttpResponse &head) { return head.status != 503; };
        m_client->stream({"127.0.0.1", server.port()}, {"GET", "/", {}, ""}, std::move(hooks),
                         reuseOptions());
        RawPeer peer = server.accept();
        peer.readUntil("\r\n\r\n");
        peer.write("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(events.closed().isOk());
        peer.waitForClose();
    }

    // Guards against the silence of a server that is taken for a connection which it has closed.
    void unacknowledgedRequestTimesOut()
    {
        RawServer server;
        StreamEvents events;
        ExchangeOptions options;
        options.unacknowledgedTimeout = milliseconds(300);
        m_client->stream({"127.0.0.1", server.port()},
                         {"POST", "/", {}, std::string(std::size_t(32) << 20U, 'x')},
                         events.hooks(), options);
        const RawPeer peer = server.accept();
        const auto closed = events.closed();
        CPPUNIT_ASSERT_EQUAL(std::string("timeout"),
                             std::string(errorCodeName(closed.error().code)));
    }

    // Guards against an exchange that never ends because a codec throws on its response.
    void throwingHookEndsTheExchange()
    {
        RawServer server;
        StreamEvents events;
        StreamHooks hooks = events.hooks();
        hooks.matchesRequest = [](const HttpResponse &, bool) -> bool {
            throw std::runtime_error("unreadable");
        };
        const auto peer = openStream(server, events, std::move(hooks));
        peer->write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
        CPPUNIT_ASSERT(events.closed().error().code == ErrorCode::Malformed);
        CPPUNIT_ASSERT_EQUAL(std::string(), events.body());
    }

    // Guards against a bounded server whose connections are held by idle clients.
    void idleConnectionIsNotKeptAgainstTheHook()
    {
        m_client->setKeepIdleHook([](const Endpoint &, std::size_t) { return milliseconds(0); });
        RawServer server;
        firstExchange(server, "")->waitForClose();
    }

    // Guards against connections that stay open until the next request, which may never come.
    void idleConnectionsOfAQuietClientAreClosed()
    {
        m_client->setKeepIdleHook([](const Endpoint &, std::size_t) { return milliseconds(1); });
        RawServer server;
        const auto peer = firstExchange(server, "");
        waitUntil([this] {
            m_client->closeExpiredIdle();
            return m_client->idleCount() == 0;
        });
        peer->waitForClose();
    }

    // Guards against idle connections that keep working ones out of a server at its bound.
    void idleConnectionsToOneEndpointCanBeClosed()
    {
        RawServer server;
        RawServer other;
        const auto peer = firstExchange(server, "");
        const auto otherPeer = firstExchange(other, "");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_client->closeIdle({"127.0.0.1", server.port()}));
        peer->waitForClose();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_client->idleCount());
    }

    // Guards against a request that certainly did not run and is taken for one that may have.
    void writeThatFailsWholeIsNotSent()
    {
        RawServer server;
        Socket socket(boost::asio::make_strand(m_pool->context()));
        socket.connect({boost::asio::ip::address_v4::loopback(), server.port()});
        server.accept().reset();
        pollfd waited {socket.native_handle(), POLLIN, 0};
        const milliseconds timeout = testDeadline;
        CPPUNIT_ASSERT_EQUAL(1, ::poll(&waited, 1, static_cast<int>(timeout.count())));
        Http1ClientExchange::Options options;
        options.requestBytes = "POST / HTTP/1.1\r\n\r\n";
        StreamEvents events;
        const auto exchange = std::make_shared<Http1ClientExchange>(
            std::move(socket), std::move(options), events.hooks());
        exchange->start();
        CPPUNIT_ASSERT(events.closed().error().code == ErrorCode::Unavailable);
    }

private:
    // Opens a stream and reads its request at the server; default hooks if onClosed is empty.
    std::unique_ptr<RawPeer> openStream(RawServer &server, StreamEvents &events, StreamHooks hooks)
    {
        if (!hooks.onClosed)
            hooks = events.hooks();
        m_client->stream({"127.0.0.1", server.port()}, {"GET", "/", {}, ""}, std::move(hooks), {});
        std::unique_ptr<RawPeer> peer(new RawPeer(server.accept()));
        peer->readUntil("\r\n\r\n");
        return peer;
    }

    // Result of a request that is not streamed and gets \a answer.
    Result<HttpResponse> requestOnce(const std::string &answer)
    {
        RawServer server;
        const auto results = std::make_shared<Mailbox<Result<HttpResponse>>>();
        m_client->request({"127.0.0.1", server.port()}, {"GET", "/", {}, ""}, longTimeout,
                          [results](const Result<HttpResponse> &result) { results->put(result); });
        RawPeer peer = server.accept();
        peer.readUntil("\r\n\r\n");
        peer.write(answer);
        return results->take();
    }

    static void assertSecondResponseDelivered(StreamEvents &events)
    {
        CPPUNIT_ASSERT(events.closed().isOk());
        CPPUNIT_ASSERT_EQUAL(201, events.status());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), events.body());
    }

    // Hooks that accept only a response with the id 2.
    static StreamHooks hooksMatchingId2(StreamEvents &events)
    {
        StreamHooks hooks = events.hooks();
        hooks.matchesRequest = [](const HttpResponse &head, bool) {
            return head.header("id") == "2";
        };
        return hooks;
    }

    static ExchangeOptions reuseOptions()
    {
        ExchangeOptions options;
        options.maxIdleTime = longTimeout;
        return options;
    }

    // Runs a streamed exchange without a body; returns the server's end, which stays open.
    std::unique_ptr<RawPeer> firstExchange(RawServer &server, const std::string &header)
    {
        StreamEvents first;
        m_client->stream({"127.0.0.1", server.port()}, {"GET", "/1", {}, ""}, first.hooks(),
                         reuseOptions());
        std::unique_ptr<RawPeer> peer(new RawPeer(server.accept()));
        peer->readUntil("\r\n\r\n");
        peer->write("HTTP/1.1 200 OK\r\n" + header + "Content-Length: 0\r\n\r\n");
        CPPUNIT_ASSERT(first.closed().isOk());
        return peer;
    }

    void startServer(Http1Server::Handler handler)
    {
        m_server.emplace(*m_pool, Endpoint {"127.0.0.1", 0}, HttpLimits(), std::move(handler));
        m_endpoint = {"127.0.0.1", m_server->listen().value()};
    }

    void send(HttpRequest request, milliseconds timeout = longTimeout)
    {
        m_client->request(
            m_endpoint, std::move(request), timeout,
            [this](Result<HttpResponse> response) { m_responses.put(std::move(response)); });
    }

    // Sends \a bytes in response to one request, then closes the connection.
    void respondWith(std::string_view bytes)
    {
        RawServer server;
        m_endpoint = {"127.0.0.1", server.port()};
        send({"GET", "/", {}, {}});
        RawPeer peer = server.accept();
        peer.readUntil("\r\n\r\n");
        peer.write(bytes);
    }

    ErrorCode errorAfter(std::string_view bytes)
    {
        respondWith(bytes);
        return m_responses.take().error().code;
    }

    Mailbox<Result<HttpResponse>> m_responses;
    std::optional<WorkerPool> m_pool;
    std::optional<Http1Client> m_client;
    std::optional<Http1Server> m_server;
    Endpoint m_endpoint;
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http1ClientTest);
