#include "GatewayFixture.h"
#include "RawPeer.h"

#include <sstream>

using namespace foxtailring;

namespace {

std::string response(const std::string &statusAndHeaders, const std::string &body = {})
{
    return "HTTP/1.1 " + statusAndHeaders + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

const std::string answerTo1 = response("200 OK\r\nid: 1\r\nsigned: 1\r\n", "first");
const std::string answerTo2 = response("200 OK\r\nid: 2\r\nsigned: 1\r\n", "second");

std::string stream(const std::string &id, const std::string &events)
{
    std::ostringstream out;
    out << "HTTP/1.1 200 OK\r\nid: " << id
        << "\r\nsigned: 1\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n"
        << std::hex << events.size() << "\r\n"
        << events << "\r\n0\r\n\r\n";
    return out.str();
}

} // namespace

// A faulty server `a` that writes to a kept-alive connection what it wrote there before.
class UsedConnectionTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(UsedConnectionTest);
    CPPUNIT_TEST(refusalOfAnotherRequestIsSkipped);
    CPPUNIT_TEST(refusalMayComeBeforeTheRequest);
    CPPUNIT_TEST(connectionEndsAfterRefusal);
    CPPUNIT_TEST(answerWithoutIdEndsTheAttemptWithTheConnection);
    CPPUNIT_TEST(refusalWithoutIdIsTrustedOnANewConnection);
    CPPUNIT_TEST(copyOfAnAnswerIsSkipped);
    CPPUNIT_TEST(copyOfAnAnswerMayComeBeforeTheRequest);
    CPPUNIT_TEST(copyOfAnAnswerDoesNotEndTheRequest);
    CPPUNIT_TEST(copyOfAStreamIsSkipped);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        GatewayFixture::setUp();
        m_serverPorts[0] = m_faulty.port();
        startServing();
    }

    // Guards against a non-idempotent request that runs at a second server, or a caller told "not
    // run", because an earlier refusal was written once more.
    void refusalOfAnotherRequestIsSkipped()
    {
        for (const std::string status :
             {"503 x\r\nfull: 1\r\n", "421 x\r\nfull: 1\r\n", "500 x\r\n"}) {
            for (const std::string id : {"", "id: 1\r\n"}) {
                restart();
                const auto peer = serveFirst();
                send("2");
                peer->readUntil("body");
                peer->write(response(status + id));
                peer->write(answerTo2);
                assertSecondServed(status + id);

                restart();
                const auto slowPeer = serveFirst();
                send("2");
                slowPeer->readUntil("body");
                const std::string bytes = response(status + id).append(answerTo2);
                for (const char byte : bytes)
                    slowPeer->write(std::string(1, byte));
                assertSecondServed(status + id + "in pieces");
            }
        }
    }

    // Guards against a refusal, or the first part of one, that waits on an idle connection.
    void refusalMayComeBeforeTheRequest()
    {
        for (const char *early : {"HTTP/1.1 503 x\r\nfull: 1\r\nContent-Length: 0\r\n\r\n", "H"}) {
            restart();
            const auto peer = serveFirst();
            peer->write(early);
            send("2");
            assertSecondServedOnANewConnection(early);
        }
    }

    // Guards against a refusal that is written once more with the id of the request that uses the
    // connection next: an attempt of the same request at the successor of a server.
    void connectionEndsAfterRefusal()
    {
        for (const std::string status : {"503 x\r\nfull: 1\r\n", "421 x\r\nfull: 1\r\n"}) {
            restart();
            send("1");
            RawPeer peer = m_faulty.accept();
            peer.readUntil("body");
            peer.write(response(status + "id: 1\r\n"));
            peer.waitForClose();
            m_received->take().responder->respond(signedAnswer("done"));
            CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
        }
    }

    // Guards against waiting until the deadline for an answer after the server has announced the
    // end of the connection.
    void answerWithoutIdEndsTheAttemptWithTheConnection()
    {
        const auto peer = serveFirst();
        send("2");
        peer->readUntil("body");
        peer->write(response("503 x\r\nfull: 1\r\nConnection: close\r\n"));
        CPPUNIT_ASSERT_EQUAL(502, m_answers->take().value().status);
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

    // Guards against a rule that rejects the refusals of malformed requests, which have no id.
    void refusalWithoutIdIsTrustedOnANewConnection()
    {
        send("1");
        RawPeer peer = m_faulty.accept();
        peer.readUntil("body");
        // Not 400, which is a promise that only a marked refusal proves.
        peer.write(response("404 x\r\n", "malformed"));
        const HttpResponse answer = m_answers->take().value();
        CPPUNIT_ASSERT_EQUAL(404, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("malformed"), answer.body);
    }

    // Guards against a caller that gets the answer to another one, which its server sends twice.
    void copyOfAnAnswerIsSkipped()
    {
        const std::string chunked = "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: 1\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n";
        for (const std::string &copy :
             {answerTo1, response("200 OK\r\nsigned: 1\r\n", "first"), chunked}) {
            restart();
            const auto peer = serveFirst();
            send("2");
            peer->readUntil("body");
            peer->write(copy);
            peer->write(answerTo2);
            assertSecondServed(copy);

            restart();
            const auto slowPeer = serveFirst();
            send("2");
            slowPeer->readUntil("body");
            for (const char byte : copy + answerTo2)
                slowPeer->write(std::string(1, byte));
            assertSecondServed(copy + "in pieces");
        }
    }

    // As above, for a copy that waits on an idle connection.
    void copyOfAnAnswerMayComeBeforeTheRequest()
    {
        for (const std::string &early : {answerTo1, answerTo1.substr(0, answerTo1.size() - 1)}) {
            restart();
            const auto peer = serveFirst();
            peer->write(early);
            send("2");
            assertSecondServedOnANewConnection(early);
        }
    }

    // Guards against a copy that is taken for the answer because no other one follows, and against
    // a second run of a request that may have run.
    void copyOfAnAnswerDoesNotEndTheRequest()
    {
        const auto peer = serveFirst();
        send("2");
        peer->readUntil("body");
        peer->write(answerTo1);
        peer->close();
        CPPUNIT_ASSERT_EQUAL(502, m_answers->take().value().status);
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

    // Guards against events of another caller's stream.
    void copyOfAStreamIsSkipped()
    {
        const std::string firstEvents = "id: 1\ndata: first\n\n";
        const std::string secondEvents = "id: 1\ndata: second\n\n";
        restartWithOneServer();
        send("1", "/stream/x");
        const auto peer = acceptRequest();
        peer->readUntil("body");
        peer->write(stream("1", firstEvents));
        CPPUNIT_ASSERT_EQUAL(firstEvents, m_answers->take().value().body);

        send("2", "/stream/x");
        waitUntil([this, &peer] {
            if (m_faulty.hasConnection())
                CPPUNIT_ASSERT(!acceptUnlessProbe());
            return peer->hasInput();
        });
        peer->readUntil("body");
        peer->write(stream("1", firstEvents));
        peer->write(stream("2", secondEvents));
        const HttpResponse answer = m_answers->take().value();
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(secondEvents, answer.body);
    }

private:
    // A failure of a server in one case must not decide where the next case is sent.
    void restart()
    {
        startGateway(std::chrono::milliseconds(20'000));
        startServing();
    }

    void restartWithOneServer()
    {
        startGateway(std::chrono::milliseconds(20'000));
        const auto read = m_store->reads->take();
        read(RangeResult {5, {{"config", "", 1}, {"servers/a", "a", 2}}});
        m_watch = m_store->watches->take();
        waitUntil([this] { return readiness() == 200; });
    }

    void send(const std::string &id, const std::string &path = "/once/x")
    {
        m_client->request(
            {"127.0.0.1", m_ports.callers}, {"POST", path, {{"id", id}, {"key", "good"}}, "body"},
            testDeadline,
            [box = m_answers](Result<HttpResponse> answer) { box->put(std::move(answer)); });
    }

    // Accepts a connection; returns it if the gateway sends a request there, or else answers the
    // probe of the server's load.
    std::unique_ptr<RawPeer> acceptUnlessProbe()
    {
        std::unique_ptr<RawPeer> peer(new RawPeer(m_faulty.accept()));
        if (!peer->readUntil("\r\n\r\n").starts_with("GET /load"))
            return peer;
        peer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        return nullptr;
    }

    std::unique_ptr<RawPeer> acceptRequest()
    {
        while (true) {
            if (auto peer = acceptUnlessProbe())
                return peer;
        }
    }

    std::unique_ptr<RawPeer> serveFirst()
    {
        send("1");
        std::unique_ptr<RawPeer> peer(new RawPeer(m_faulty.accept()));
        peer->readUntil("body");
        peer->write(answerTo1);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), m_answers->take().value().body);
        return peer;
    }

    void assertSecondServed(const std::string &what)
    {
        waitUntil([this] { return !m_answers->isEmpty() || !m_received->isEmpty(); });
        CPPUNIT_ASSERT_MESSAGE("sent to a second server: " + what, m_received->isEmpty());
        const HttpResponse answer = m_answers->take().value();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 200, answer.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string("second"), answer.body);
    }

    void assertSecondServedOnANewConnection(const std::string &what)
    {
        RawPeer other = m_faulty.accept();
        other.readUntil("body");
        other.write(answerTo2);
        assertSecondServed(what);
    }

    RawServer m_faulty;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsedConnectionTest);
