#include "GatewayFixture.h"
#include "RawPeer.h"

using namespace foxtailring;

namespace {

const std::string head = "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: 1\r\n";
const std::string eventStreamHead = head + "Content-Type: text/event-stream\r\n";

} // namespace

// What callers see of a faulty server `a` that stops in the middle of its answer.
class TruncatedAnswerTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(TruncatedAnswerTest);
    CPPUNIT_TEST(partOfAnAnswerIsNotPassedOn);
    CPPUNIT_TEST(resetEndsNoAnswer);
    CPPUNIT_TEST(partOfAnAnswerIsReadElsewhere);
    CPPUNIT_TEST(unframedStreamThatEndsInsideAnEventResumes);
    CPPUNIT_TEST(unframedStreamMayEndAfterAnEvent);
    CPPUNIT_TEST(resetAfterAnEventIsNoEnd);
    CPPUNIT_TEST(answerWithoutAStatusIsNotPassedOn);
    CPPUNIT_TEST(partOfAnEarlyAnswerIsNotPassedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        GatewayFixture::setUp();
        m_serverPorts[0] = m_faulty.port();
        startServing();
    }

    // Guards against an empty or short body in place of an answer, and against a second run of a
    // request that may have run.
    void partOfAnAnswerIsNotPassedOn()
    {
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        for (const std::string &part :
             {std::string("HTTP/1.1 200 OK\r\n"), head, head + "\r", head + "Content-Length: 5\r\n",
              head + "Content-Length: 5\r\n\r\n", head + "Content-Length: 5\r\n\r\nwhol", chunked,
              chunked + "5", chunked + "5\r\nwhol", chunked + "5\r\nwhole\r\n",
              chunked + "5\r\nwhole\r\n0\r\n", chunked + "5\r\nwhole\r\n0\r\nName: value\r\n"}) {
            restart();
            call("/once/x");
            answerWithPart(part, false);
            const HttpResponse answer = m_answers->take().value();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(part, 502, answer.status);
            CPPUNIT_ASSERT_MESSAGE(part, m_received->isEmpty());
        }
    }

    // Guards against a reset that ends an answer without a length like a close.
    void resetEndsNoAnswer()
    {
        for (const std::string &part : {head + "\r\n", head + "\r\npart"}) {
            restart();
            call("/once/x");
            answerWithPart(part, true);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(part, 502, m_answers->take().value().status);
        }
    }

    void partOfAnAnswerIsReadElsewhere()
    {
        call("/read/x");
        answerWithPart(head + "Content-Length: 5\r\n\r\nwhol", false);
        m_received->take().responder->respond(signedAnswer("whole"));
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), m_answers->take().value().body);
    }

    // Guards against an event stream without length or chunks that counts as complete although it
    // ends inside an event.
    void unframedStreamThatEndsInsideAnEventResumes()
    {
        beginStream(eventText(1) + "id: 2\nda");
        m_peer->close();
        resumeAfterEvent1();
    }

    void unframedStreamMayEndAfterAnEvent()
    {
        beginStream(eventText(1));
        m_peer->close();
        const HttpResponse answer = m_answers->take().value();
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(eventText(1), answer.body);
    }

    // Guards against a server's crash that counts as the end of its stream.
    void resetAfterAnEventIsNoEnd()
    {
        beginStream(eventText(1));
        m_peer->reset();
        resumeAfterEvent1();
    }

    // Guards against an answer whose status says nothing, such as 000, and which its caller takes
    // for one.
    void answerWithoutAStatusIsNotPassedOn()
    {
        const std::string fields = "id: 1\r\nsigned: 1\r\nContent-Length: 2\r\n\r\nok";
        for (const std::string line :
             {"HTTP/1.1 000 OK", "HTTP/1.1 0 OK", "HTTP/1.1 00 OK", "HTTP/1.1 099 OK",
              "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 abc OK", "HTTP/1.1 OK", "HTTP/1.1",
              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK",
              "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK"}) {
            for (const std::string path : {"/once/x", "/read/x"}) {
                restart();
                call(path);
                answerWithPart(std::string(line).append("\r\n").append(fields), false);
                if (path == "/read/x")
                    m_received->take().responder->respond(signedAnswer("sound"));
                const HttpResponse answer = m_answers->take().value();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(line, path == "/once/x" ? 502 : 200, answer.status);
                CPPUNIT_ASSERT_MESSAGE(line, answer.body.find("ok") == std::string::npos);
            }
        }
    }

    // Guards against a part of an answer that ends by a reset while the request is still on its
    // way.
    void partOfAnEarlyAnswerIsNotPassedOn()
    {
        const std::string body(std::size_t {4} * 1024 * 1024, 'x');
        for (const bool endsOutputFirst : {false, true}) {
            restart();
            m_client->request(
                {"127.0.0.1", m_ports.callers},
                {"POST", "/once/x", {{"id", "1"}, {"key", "good"}}, body}, testDeadline,
                [box = m_answers](Result<HttpResponse> answer) { box->put(std::move(answer)); });
            acceptRequest();
            m_peer->write(head + "\r\npart");
            if (endsOutputFirst)
                m_peer->shutdownOutput();
            m_peer->reset();
            CPPUNIT_ASSERT_EQUAL(502, m_answers->take().value().status);
        }
    }

private:
    // A failure of a server in one case must not decide where the next case is sent.
    void restart()
    {
        startGateway(std::chrono::milliseconds(20'000));
        startServing();
    }

    // Accepts connections up to one that sends more than a probe; returns the head of its request.
    std::string acceptRequest()
    {
        while (true) {
            waitUntil([this] { return m_faulty.hasConnection() || m_other.hasConnection(); });
            RawServer &server = m_faulty.hasConnection() ? m_faulty : m_other;
            m_peer.reset(new RawPeer(server.accept()));
            std::string request = m_peer->readUntil("\r\n\r\n");
            if (!request.starts_with("GET /load"))
                return request;
            m_peer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    }

    void answerWithPart(const std::string &part, bool isReset)
    {
        acceptRequest();
        m_peer->readUntil("body");
        m_peer->write(part);
        if (isReset)
            m_peer->reset();
        else
            m_peer->close();
    }

    // Serves the beginning of an event stream without length or chunks; waits until the caller has
    // the event 1.
    void beginStream(const std::string &events)
    {
        // Either server may be the one that runs it.
        m_serverPorts[1] = m_other.port();
        restart();
        const auto body = std::make_shared<Mailbox<std::string>>();
        StreamHooks hooks;
        const auto whole = std::make_shared<HttpResponse>();
        hooks.onHead = [whole](const HttpResponse &answer) { whole->status = answer.status; };
        hooks.onBody = [whole, body](std::string_view bytes) {
            whole->body += bytes;
            body->put(std::string(bytes));
        };
        hooks.onClosed = [whole, box = m_answers](const Result<Done> &result) {
            box->put(result ? Result<HttpResponse>(*whole) : Result<HttpResponse>(result.error()));
        };
        m_client->stream({"127.0.0.1", m_ports.callers},
                         {"POST", "/stream/x", {{"id", "1"}, {"key", "good"}}, "body"},
                         std::move(hooks));
        acceptRequest();
        m_peer->write(eventStreamHead + "\r\n" + events);
        body->take();
    }

    void resumeAfterEvent1()
    {
        const std::string resumed = acceptRequest();
        CPPUNIT_ASSERT_MESSAGE(resumed, resumed.find("last: 1\r\n") != std::string::npos);
        m_peer->write(eventStreamHead + "\r\n" + eventText(2));
        m_peer->close();
        CPPUNIT_ASSERT_EQUAL(eventText(1) + eventText(2), m_answers->take().value().body);
    }

    RawServer m_faulty;
    RawServer m_other; ///< server `b` in the tests of streams
    std::unique_ptr<RawPeer> m_peer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TruncatedAnswerTest);
