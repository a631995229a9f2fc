#include "GatewayFixture.h"

using namespace foxtailring;

namespace {

// What a caller received: the bytes before the end, and whether the end looks complete.
struct Received
{
    int status = 0;
    std::string body;
    bool isComplete = false;
};

} // namespace

// What a caller sees of a stream whose servers fail, for all kinds of answers of the next server.
class BrokenStreamTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(BrokenStreamTest);
    CPPUNIT_TEST(answerAfterABreakIsNeverPartOfTheStream);
    CPPUNIT_TEST(streamAfterABreakMayNotEndWithoutAnEvent);
    CPPUNIT_TEST(brokenContinuationIsCut);
    CPPUNIT_TEST(firstStreamWithoutEventsIsRetried);
    CPPUNIT_TEST(firstEmptySuccessIsRetried);
    CPPUNIT_TEST(firstErrorIsPassedOnWhole);
    CPPUNIT_TEST(firstServerErrorIsRetried);
    CPPUNIT_TEST(serverErrorOfAllServersIsPassedOnWhole);
    CPPUNIT_TEST(firstSuccessOfAnotherTypeIsPassedOnWhole);
    CPPUNIT_TEST(preemptedStreamOutlivesARejection);
    CPPUNIT_TEST(preemptedStreamGoesOnBesideItsReplacement);
    CPPUNIT_TEST(streamThatEndsBesideItsReplacementIsComplete);
    CPPUNIT_TEST(replacedStreamIsEndedByTheFirstEventOfItsReplacement);
    CPPUNIT_TEST(partOfAnEventOutlivesAnInvalidReplacement);
    CPPUNIT_TEST(eventsOfAReplacementAreNotMixedWithThoseOfTheFallback);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the text of an error, or its head, in the middle of a stream, and against an
    // end that looks complete.
    void answerAfterABreakIsNeverPartOfTheStream()
    {
        for (const int status :
             {200, 201, 204, 206, 301, 304, 400, 404, 408, 421, 429, 500, 502, 503, 504, 599}) {
            for (const bool isSigned : {false, true}) {
                for (const bool isEventStream : {false, true}) {
                    for (const std::string body : {"", "id: 2\ndata: error\n\n", "failed"})
                        breakThenAnswer(status, isSigned, isEventStream, body);
                }
            }
        }
    }

    // Guards against a stream that ends as if it were complete because a faulty server continued it
    // with nothing.
    void streamAfterABreakMayNotEndWithoutAnEvent()
    {
        for (const char *body : {"", ": comment\n\n", "id: 1\ndata: x\n\n"}) {
            beginStream();
            ReceivedRequest second = m_received->take();
            second.responder->startStream(200, eventHeaders());
            second.responder->write(body);
            second.responder->finish();
            const Received received = waitForEnd();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, eventText(1), received.body);
            CPPUNIT_ASSERT_MESSAGE(body, !received.isComplete);
        }
    }

    // Guards against text without an event's form in the middle of a stream.
    void brokenContinuationIsCut()
    {
        for (const char *body : {"id: 2\nda", "data: error\n\n", "id: x\ndata: error\n\n",
                                 "id: 9\ndata: x\n\n", "HTTP/1.1 500 x\r\nid: 1\r\n\r\n"}) {
            beginStream();
            ReceivedRequest second = m_received->take();
            second.responder->startStream(200, eventHeaders());
            second.responder->write(body);
            second.responder->finish();
            const Received received = waitForEnd();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, eventText(1), received.body);
            CPPUNIT_ASSERT_MESSAGE(body, !received.isComplete);
        }
    }

    // Guards against an empty stream that is passed on as a complete answer.
    void firstStreamWithoutEventsIsRetried()
    {
        for (const char *body : {"", ": comment\n\n", "id: 1\nda"}) {
            restart();
            openStream();
            ReceivedRequest first = m_received->take();
            first.responder->startStream(200, eventHeaders());
            first.responder->write(body);
            first.responder->finish();
            serveSecond();
        }
    }

    // Guards against a success without a body in place of a run's output.
    void firstEmptySuccessIsRetried()
    {
        for (const bool isEventStream : {false, true}) {
            restart();
            openStream();
            m_received->take().responder->respond(answer(200, true, isEventStream, ""));
            serveSecond();
        }
    }

    // Guards against errors that are held back although their caller can be told.
    void firstErrorIsPassedOnWhole()
    {
        for (const bool isEventStream : {false, true}) {
            for (const bool isSigned : {false, true}) {
                restart();
                openStream();
                m_received->take().responder->respond(
                    answer(404, isSigned, isEventStream, "id: 1\ndata: no\n\n"));
                const Received received = waitForEnd();
                CPPUNIT_ASSERT_EQUAL(404, received.status);
                CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: no\n\n"), received.body);
                CPPUNIT_ASSERT(received.isComplete);
            }
        }
    }

    // Guards against a server error that a caller sees although another server would answer.
    void firstServerErrorIsRetried()
    {
        restart();
        openStream();
        m_received->take().responder->respond(answer(500, true, false, "failed"));
        serveSecond();
    }

    // Guards against an answer that is lost while another server is looked for.
    void serverErrorOfAllServersIsPassedOnWhole()
    {
        restart();
        openStream();
        m_received->take().responder->respond(answer(500, true, false, "first"));
        m_received->take().responder->respond(answer(500, true, false, "second"));
        const Received received = waitForEnd();
        CPPUNIT_ASSERT_EQUAL(500, received.status);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), received.body);
        CPPUNIT_ASSERT(received.isComplete);
    }

    // Guards against a whole answer of another type, which its server signed, that gets lost.
    void firstSuccessOfAnotherTypeIsPassedOnWhole()
    {
        restart();
        openStream();
        m_received->take().responder->respond(answer(200, true, false, "whole"));
        const Received received = waitForEnd();
        CPPUNIT_ASSERT_EQUAL(200, received.status);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), received.body);
        CPPUNIT_ASSERT(received.isComplete);
    }

    // Guards against cutting a stream whose server works, because the next server is full.
    void preemptedStreamOutlivesARejection()
    {
        const Attempts attempts = replacePreemptedStream();
        HttpResponse rejection = answer(503, false, false, "");
        rejection.headers.push_back({"full", "1"});
        attempts.second.responder->respond(rejection);
        waitUntil([this] { return metrics().find(resumedAfter("noServer")) != std::string::npos; });
        expectRestFrom(attempts.first);
    }

    // Guards against a caller that waits for a second run although the first one goes on.
    void preemptedStreamGoesOnBesideItsReplacement()
    {
        const Attempts attempts = replacePreemptedStream();
        Mailbox<bool> ended;
        attempts.second.responder->onDisconnect([&ended] { ended.put(true); });
        expectRestFrom(attempts.first);
        ended.take();
    }

    void streamThatEndsBesideItsReplacementIsComplete()
    {
        const Attempts attempts = replacePreemptedStream();
        attempts.first.responder->finish();
        const Received received = waitForEnd();
        CPPUNIT_ASSERT_EQUAL(eventText(1), received.body);
        CPPUNIT_ASSERT(received.isComplete);
    }

    // Guards against two servers that work on one run, and against events of both in one answer.
    void replacedStreamIsEndedByTheFirstEventOfItsReplacement()
    {
        const Attempts attempts = replacePreemptedStream();
        Mailbox<bool> ended;
        attempts.first.responder->onDisconnect([&ended] { ended.put(true); });
        attempts.second.responder->startStream(200, eventHeaders());
        attempts.second.responder->write(eventText(2));
        ended.take();
        attempts.second.responder->finish();
        const Received received = waitForEnd();
        CPPUNIT_ASSERT_EQUAL(eventText(1) + eventText(2), received.body);
        CPPUNIT_ASSERT(received.isComplete);
    }

    // Guards against losing the part of an event that the first server has sent, when an invalid
    // event of its replacement makes the relay return to it within one read.
    void partOfAnEventOutlivesAnInvalidReplacement()
    {
        const std::string second = eventText(2);
        const std::vector<std::string> reads = invalidReads();
        for (std::size_t i = 0; i < reads.size(); ++i) {
            const std::size_t cut = std::vector<std::size_t> {1, 6, 9, second.size() - 1}.at(i);
            const Attempts attempts = replacePreemptedStream(second.substr(0, cut));
            endReplacement(attempts, reads.at(i));
            attempts.first.responder->write(second.substr(cut) + eventText(3));
            attempts.first.responder->finish();
            expectEvents(3, std::to_string(cut) + " bytes, then " + reads.at(i));
        }
    }

    // Guards against events of the replacement that follow an invalid one, in the same read, and
    // are completed by or added to those of the first server.
    void eventsOfAReplacementAreNotMixedWithThoseOfTheFallback()
    {
        const std::string second = eventText(2);
        for (const std::string &rest : {eventText(2), second.substr(0, 9), second + "id: 3\nda"}) {
            const Attempts attempts = replacePreemptedStream();
            endReplacement(attempts, eventText(9) + rest);
            attempts.first.responder->write(second.substr(0, 4));
            attempts.first.responder->write(second.substr(4) + eventText(3).substr(0, 9));
            attempts.first.responder->write(eventText(3).substr(9));
            attempts.first.responder->finish();
            expectEvents(3, rest);
        }
    }

private:
    struct Attempts
    {
        ReceivedRequest first;
        ReceivedRequest second;
    };

    // What makes an attempt invalid that has to send the event 2 next.
    static std::vector<std::string> invalidReads()
    {
        return {eventText(9), "data: x\n\n", "id: x\ndata: x\n\n", eventText(9) + eventText(10)};
    }

    void endReplacement(const Attempts &attempts, const std::string &events)
    {
        attempts.second.responder->startStream(200, eventHeaders());
        attempts.second.responder->write(events);
        waitUntil([this] { return metrics().find(resumedAfter("noServer")) != std::string::npos; });
    }

    void expectEvents(int count, const std::string &what)
    {
        std::string expected;
        for (int id = 1; id <= count; ++id)
            expected += eventText(id);
        const Received received = waitForEnd();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, expected, received.body);
        CPPUNIT_ASSERT_MESSAGE(what, received.isComplete);
    }

    static std::string resumedAfter(const std::string &cause)
    {
        return "gateway_attempts_resumed_total{cause=\"" + cause + "\"} 1";
    }

    // Opens a stream whose server sends the event 1 and a part of the next one, and then no longer
    // lists the run; returns when it is replaced for that reason. On a busy machine a probe may be
    // unanswered before, and the server counts as silent; then the stream is begun anew.
    Attempts replacePreemptedStream(const std::string &partOfEvent2 = "")
    {
        *m_reportHeaders = {{"unlisted", "1"}};
        for (;;) {
            restart();
            m_received->clear();
            openStream();
            Attempts attempts;
            attempts.first = m_received->take();
            attempts.first.responder->startStream(200, eventHeaders());
            attempts.first.responder->write(eventText(1) + partOfEvent2);
            attempts.second = m_received->take();
            if (metrics().find("gateway_attempts_total{cause=\"unlisted\"} 1") != std::string::npos)
                return attempts;
        }
    }

    void expectRestFrom(const ReceivedRequest &server)
    {
        server.responder->write(eventText(2));
        server.responder->finish();
        const Received received = waitForEnd();
        CPPUNIT_ASSERT_EQUAL(eventText(1) + eventText(2), received.body);
        CPPUNIT_ASSERT(received.isComplete);
    }

    void breakThenAnswer(int status, bool isSigned, bool isEventStream, const std::string &body)
    {
        const std::string what = std::to_string(status) + (isSigned ? " signed " : " unsigned ")
            + (isEventStream ? "event stream: " : "text: ") + body;
        // A continuation in order is no error.
        if (status >= 200 && status < 300 && isSigned && isEventStream && body.starts_with("id: 2"))
            return;
        beginStream();
        m_received->take().responder->respond(answer(status, isSigned, isEventStream, body));
        const Received received = waitForEnd();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 200, received.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, eventText(1), received.body);
        CPPUNIT_ASSERT_MESSAGE(what, !received.isComplete);
    }

    static HttpResponse answer(int status, bool isSigned, bool isEventStream,
                               const std::string &body)
    {
        HttpResponse out {status, {{"id", "1"}}, body};
        out.headers.push_back({"Content-Type", isEventStream ? "text/event-stream" : "text/plain"});
        if (isSigned)
            out.headers.push_back({"signed", "1"});
        return out;
    }

    static std::vector<HttpHeader> eventHeaders()
    {
        return {{"Content-Type", "text/event-stream"}, {"signed", "1"}, {"id", "1"}};
    }

    // A failure of a server in one case must not decide where the next case is sent.
    void restart()
    {
        startGateway(std::chrono::milliseconds(20'000));
        startServing();
    }

    void openStream(const std::string &path = "/stream/x")
    {
        m_caller = std::make_shared<Caller>();
        StreamHooks hooks;
        hooks.onHead = [caller = m_caller](const HttpResponse &head) {
            caller->received.status = head.status;
        };
        hooks.onBody = [caller = m_caller](std::string_view bytes) {
            caller->received.body += bytes;
        };
        hooks.onClosed = [caller = m_caller](const Result<Done> &result) {
            caller->received.isComplete = result.isOk();
            caller->ended.put(true);
        };
        m_client->stream({"127.0.0.1", m_ports.callers},
                         {"POST", path, {{"id", "1"}, {"key", "good"}}, ""}, std::move(hooks));
    }

    // Opens a stream whose first server breaks it off after the event 1.
    void beginStream()
    {
        restart();
        openStream("/twice/x");
        ReceivedRequest first = m_received->take();
        first.responder->startStream(200, eventHeaders());
        first.responder->write(eventText(1));
        first.responder->abort();
    }

    Received waitForEnd()
    {
        m_caller->ended.take();
        return m_caller->received;
    }

    void serveSecond()
    {
        waitUntil([this] { return !m_received->isEmpty() || !m_caller->ended.isEmpty(); });
        CPPUNIT_ASSERT_MESSAGE("the first answer was passed on", m_caller->ended.isEmpty());
        ReceivedRequest second = m_received->take();
        second.responder->startStream(200, eventHeaders());
        second.responder->write(eventText(1));
        second.responder->finish();
        const Received received = waitForEnd();
        CPPUNIT_ASSERT_EQUAL(eventText(1), received.body);
        CPPUNIT_ASSERT(received.isComplete);
    }

    struct Caller
    {
        Received received;
        Mailbox<bool> ended;
    };
    std::shared_ptr<Caller> m_caller;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenStreamTest);
