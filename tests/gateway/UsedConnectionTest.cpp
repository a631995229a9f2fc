#include "GatewayFixture.h"
#include "RawPeer.h"

using namespace foxtailring;

namespace {

std::string response(const std::string &statusAndHeaders, const std::string &body = {})
{
    return "HTTP/1.1 " + statusAndHeaders + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

const std::string answerTo1 = response("200 OK\r\nid: 1\r\nsigned: 1\r\n", "first");
const std::string answerTo2 = response("200 OK\r\nid: 2\r\nsigned: 1\r\n", "second");

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
            RawPeer other = m_faulty.accept();
            other.readUntil("body");
            other.write(answerTo2);
            assertSecondServed(early);
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

private:
    // A failure of a server in one case must not decide where the next case is sent.
    void restart()
    {
        startGateway(std::chrono::milliseconds(20'000));
        startServing();
    }

    void send(const std::string &id)
    {
        m_client->request(
            {"127.0.0.1", m_ports.callers},
            {"POST", "/once/x", {{"id", id}, {"key", "good"}}, "body"}, testDeadline,
            [box = m_answers](Result<HttpResponse> answer) { box->put(std::move(answer)); });
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

    RawServer m_faulty;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsedConnectionTest);
