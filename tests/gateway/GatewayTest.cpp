#include "GatewayFixture.h"

using namespace foxtailring;

// A whole gateway between real connections.
class GatewayTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(answerIsForwarded);
    CPPUNIT_TEST(requestsAreUnavailableWithoutConfiguration);
    CPPUNIT_TEST(requestWaitsForTheFirstRead);
    CPPUNIT_TEST(unknownKeyAndRouteAreRejected);
    CPPUNIT_TEST(keysAreNotUsedWithoutRecentProof);
    CPPUNIT_TEST(restoreDuringTheFirstReadDelaysTheUseOfKeys);
    CPPUNIT_TEST(refusedCallIsRetriedElsewhere);
    CPPUNIT_TEST(callThatMayHaveRunIsNotRetried);
    CPPUNIT_TEST(streamResumesFromItsCopy);
    CPPUNIT_TEST(brokenStreamDoesNotLookComplete);
    CPPUNIT_TEST(unreadableAnswerIsALostAttempt);
    CPPUNIT_TEST(unreadableRequestIsAnswered);
    CPPUNIT_TEST(exceptionBeforeAnAttemptIsAnswered);
    CPPUNIT_TEST(exceptionWhileForwardingIsAnswered);
    CPPUNIT_TEST(unreadableReportsDoNotDelayARun);
    CPPUNIT_TEST(callerDisconnectCancelsTheAttempt);
    CPPUNIT_TEST(slowAnswerIsKeptWhenAnotherServerRejects);
    CPPUNIT_TEST(firstOfTwoAnswersIsPassedOn);
    CPPUNIT_TEST(drainWaitsForRunningRequests);
    CPPUNIT_TEST(callsDuringADrainAreAnsweredBeforeItsEnd);
    CPPUNIT_TEST(callThatMayOutlastADrainIsRefusedAtOnce);
    CPPUNIT_TEST(requestsThatOutlastADrainAreRefused);
    CPPUNIT_TEST(streamIsNotSentAgainTooLateInADrain);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerIsForwarded()
    {
        startServing();
        call("/once/x");
        ReceivedRequest received = m_received->take();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), received.server);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), received.request.body);
        received.responder->respond(signedAnswer("done"));
        const HttpResponse answer = m_answers->take().value();
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), answer.body);
    }

    // Guards against a 404 or 401 from a process that knows no configuration yet.
    void requestsAreUnavailableWithoutConfiguration()
    {
        startGateway(std::chrono::milliseconds(20'000), std::chrono::milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(503, readiness());
        call("/once/x");
        const HttpResponse answer = m_answers->take().value();
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(!answer.header("Retry-After").empty());
    }

    // Guards against refusing requests that arrive before the first read of the store has finished:
    // when all gateways had restarted at once, they refused 92 requests within 50 ms.
    void requestWaitsForTheFirstRead()
    {
        // The gateway receives it before the store's reply because it is sent first.
        call("/once/x");
        CPPUNIT_ASSERT_EQUAL(503, readiness());
        startServing();
        m_received->take().responder->respond(signedAnswer("done"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
    }

    void unknownKeyAndRouteAreRejected()
    {
        startServing();
        call("/once/x", "bad");
        CPPUNIT_ASSERT_EQUAL(401, m_answers->take().value().status);
        call("/nowhere/x");
        CPPUNIT_ASSERT_EQUAL(404, m_answers->take().value().status);
    }

    // Guards against a gateway that cannot reach the store and keeps accepting a withdrawn key.
    void keysAreNotUsedWithoutRecentProof()
    {
        // Shorter than the margin, so that no proof is recent enough.
        startGateway(std::chrono::milliseconds(1));
        const auto read = m_store->reads->take();
        read(RangeResult {5, {{"config", "", 1}, {"servers/a", "a", 2}}});
        m_watch = m_store->watches->take();
        call("/once/x");
        CPPUNIT_ASSERT_EQUAL(503, m_answers->take().value().status);
        CPPUNIT_ASSERT_EQUAL(503, readiness());
    }

    // Guards against accepting a key whose revocation was lost with the store's latest writes.
    void restoreDuringTheFirstReadDelaysTheUseOfKeys()
    {
        m_store->reads->take()(Error {ErrorCode::Stale, "pages of two epochs"});
        m_store->reads->take()(
            RangeResult {5, {{"config", "", 1}, {"servers/a", "a", 2}, {"servers/b", "b", 3}}, 2});
        m_store->watches->take();
        CPPUNIT_ASSERT_EQUAL(503, readiness());
    }

    void refusedCallIsRetriedElsewhere()
    {
        startServing();
        call("/once/x");
        ReceivedRequest first = m_received->take();
        first.responder->respond({503, {{"full", "1"}}, ""});
        ReceivedRequest second = m_received->take();
        CPPUNIT_ASSERT(first.server != second.server);
        second.responder->respond(signedAnswer("done"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
    }

    // Guards against a call that runs twice.
    void callThatMayHaveRunIsNotRetried()
    {
        startServing();
        call("/once/x");
        m_received->take().responder->abort();
        CPPUNIT_ASSERT_EQUAL(502, m_answers->take().value().status);
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

    void streamResumesFromItsCopy()
    {
        startServing();
        call("/stream/x");
        ReceivedRequest first = m_received->take();
        first.responder->startStream(200, eventHeaders());
        first.responder->write(eventText(1) + eventText(2) + "id: 3\nda");
        first.responder->abort();
        ReceivedRequest second = m_received->take();
        CPPUNIT_ASSERT(first.server != second.server);
        CPPUNIT_ASSERT(!first.request.header("copy-to").empty());
        CPPUNIT_ASSERT_EQUAL(std::string(first.request.header("copy-to")),
                             std::string(second.request.header("copy-at")));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), std::string(second.request.header("last")));
        second.responder->startStream(200, eventHeaders());
        second.responder->write(eventText(3));
        second.responder->finish();
        const HttpResponse answer = m_answers->take().value();
        CPPUNIT_ASSERT_EQUAL(eventText(1) + eventText(2) + eventText(3), answer.body);
    }

    void brokenStreamDoesNotLookComplete()
    {
        startServing();
        call("/stream/x");
        for (int attempt = 0; attempt < 2; ++attempt) {
            ReceivedRequest received = m_received->take();
            received.responder->startStream(200, eventHeaders());
            received.responder->write(eventText(attempt + 1));
            received.responder->abort();
        }
        CPPUNIT_ASSERT(!m_answers->take().isOk());
    }

    // Guards against a caller without an answer, or with one that no server gave, because the codec
    // throws on a response.
    void unreadableAnswerIsALostAttempt()
    {
        startServing();
        call("/once/x");
        m_received->take().responder->respond({200, {{"unreadable", "1"}}, "x"});
        CPPUNIT_ASSERT_EQUAL(502, m_answers->take().value().status);
        CPPUNIT_ASSERT(m_received->isEmpty());
        assertServesCalls();
    }

    // Guards against a caller that waits for nothing because the codec throws on its request.
    void unreadableRequestIsAnswered()
    {
        startServing();
        m_client->request(
            {"127.0.0.1", m_ports.callers},
            {"POST", "/once/x", {{"id", "1"}, {"unreadable", "1"}}, "body"}, testDeadline,
            [box = m_answers](Result<HttpResponse> answer) { box->put(std::move(answer)); });
        CPPUNIT_ASSERT_EQUAL(500, m_answers->take().value().status);
        assertServesCalls();
    }

    // Guards against a request that is never answered, since its timer is not set yet.
    void exceptionBeforeAnAttemptIsAnswered()
    {
        startServing();
        m_client->request(
            {"127.0.0.1", m_ports.callers},
            {"POST", "/once/x", {{"id", "1"}, {"key", "good"}, {"unsendable", "1"}}, "body"},
            testDeadline,
            [box = m_answers](Result<HttpResponse> answer) { box->put(std::move(answer)); });
        CPPUNIT_ASSERT_EQUAL(502, m_answers->take().value().status);
        assertServesCalls();
    }

    // Guards against an answer that is dropped while its caller waits.
    void exceptionWhileForwardingIsAnswered()
    {
        startServing();
        call("/once/x");
        m_received->take().responder->respond({200, {{"signed", "1"}, {"unforwardable", "1"}}, ""});
        CPPUNIT_ASSERT_EQUAL(502, m_answers->take().value().status);
        assertServesCalls();

        call("/stream/x");
        ReceivedRequest received = m_received->take();
        auto headers = eventHeaders();
        headers.push_back({"unforwardable", "1"});
        received.responder->startStream(200, headers);
        received.responder->write(eventText(1));
        CPPUNIT_ASSERT_EQUAL(502, m_answers->take().value().status);
    }

    // Guards against a run that waits until its deadline for reports that were dropped.
    void unreadableReportsDoNotDelayARun()
    {
        *m_reportHeaders = {{"unreadable", "1"}};
        startServing();
        call("/stream/x");
        ReceivedRequest received = m_received->take();
        received.responder->startStream(200, eventHeaders());
        received.responder->write(eventText(1));
        received.responder->finish();
        CPPUNIT_ASSERT_EQUAL(eventText(1), m_answers->take().value().body);
    }

    // Guards against servers that keep working for callers that have disconnected.
    void callerDisconnectCancelsTheAttempt()
    {
        startServing();
        const auto stream = m_client->stream(
            {"127.0.0.1", m_ports.callers},
            {"POST", "/stream/x", {{"id", "1"}, {"key", "good"}}, ""}, StreamHooks {});
        ReceivedRequest received = m_received->take();
        const auto gone = std::make_shared<Mailbox<int>>();
        received.responder->onDisconnect([gone] { gone->put(1); });
        stream->cancel();
        gone->take();
    }

    // Guards against 502 for a read whose answer was on its way.
    void slowAnswerIsKeptWhenAnotherServerRejects()
    {
        startServing();
        call("/slow/x");
        const ReceivedRequest slow = m_received->take();
        const ReceivedRequest next = m_received->take();
        CPPUNIT_ASSERT(slow.server != next.server);
        next.responder->respond({503, {{"full", "1"}, {"id", "1"}}, ""});
        assertServesCalls(); // by then the rejection has arrived
        slow.responder->respond(signedAnswer("slow"));
        const auto answer = m_answers->take();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(std::string("slow"), answer.value().body);
    }

    // Whichever attempt answers first, its answer is passed on whole and the other one is ended.
    void firstOfTwoAnswersIsPassedOn()
    {
        startServing();
        for (const bool isFirst : {true, false}) {
            call("/slow/x");
            const ReceivedRequest slow = m_received->take();
            const ReceivedRequest next = m_received->take();
            const auto gone = std::make_shared<Mailbox<int>>();
            (isFirst ? next : slow).responder->onDisconnect([gone] { gone->put(1); });
            (isFirst ? slow : next).responder->respond(signedAnswer(isFirst ? "slow" : "next"));
            const auto answer = m_answers->take();
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(200, answer.value().status);
            CPPUNIT_ASSERT_EQUAL(std::string(isFirst ? "slow" : "next"), answer.value().body);
            gone->take();
        }
    }

    void drainWaitsForRunningRequests()
    {
        startServing();
        call("/once/x");
        ReceivedRequest received = m_received->take();
        const auto drained = std::make_shared<Mailbox<int>>();
        m_gateway->drain([drained] { drained->put(1); });
        waitUntil([this] { return readiness() == 503; });
        CPPUNIT_ASSERT(drained->isEmpty());
        received.responder->respond(signedAnswer("done"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
        drained->take();
    }

    // A call whose server is slow for once must not be cut off by the end of the process.
    void callsDuringADrainAreAnsweredBeforeItsEnd()
    {
        startGateway(std::chrono::seconds(20), testDeadline, std::chrono::milliseconds(4000));
        startServing();
        for (int number = 0; number < 20; ++number) {
            call("/quick/x");
            m_received->take().responder->respond(signedAnswer("done"));
            CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
        }
        const auto drained = std::make_shared<Mailbox<int>>();
        m_gateway->drain([drained] { drained->put(1); });
        waitUntil([this] { return readiness() == 503; });
        call("/quick/x");
        const ReceivedRequest received = m_received->take();
        const auto answer = m_answers->take();
        CPPUNIT_ASSERT(drained->isEmpty());
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(504, answer.value().status);
        drained->take();
    }

    // Guards against calls that a server begins and the end of the process leaves without answer.
    void callThatMayOutlastADrainIsRefusedAtOnce()
    {
        startGateway(std::chrono::seconds(20), testDeadline, std::chrono::milliseconds(2500));
        startServing();
        const auto drained = std::make_shared<Mailbox<int>>();
        m_gateway->drain([drained] { drained->put(1); });
        waitUntil([this] { return readiness() == 503; });
        call("/once/x");
        const auto answer = m_answers->take();
        CPPUNIT_ASSERT(drained->isEmpty());
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(503, answer.value().status);
        CPPUNIT_ASSERT(std::stod(std::string(answer.value().header("Retry-After"))) <= 0.3);
        drained->take();
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

    // Requests from before the stop must not be cut off by the end of the process while an answer
    // can still be given.
    void requestsThatOutlastADrainAreRefused()
    {
        for (const char *path : {"/once/x", "/stream/x"}) {
            startGateway(std::chrono::seconds(20), testDeadline, std::chrono::milliseconds(1500));
            startServing();
            call(path);
            const ReceivedRequest received = m_received->take();
            const auto drained = std::make_shared<Mailbox<int>>();
            m_gateway->drain([drained] { drained->put(1); });
            const auto answer = m_answers->take();
            CPPUNIT_ASSERT(drained->isEmpty());
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(504, answer.value().status);
            drained->take();
        }
    }

    // Guards against a stream that begins at its second server, after the first one has rejected
    // it, and that the end of the process cuts off: its caller has no answer and no refusal then.
    void streamIsNotSentAgainTooLateInADrain()
    {
        // The time for answers is 1 s more than the objective, which a stream is expected to take.
        const std::chrono::milliseconds answerTime(11'000);
        startGateway(std::chrono::seconds(20), testDeadline,
                     answerTime + std::chrono::milliseconds(700));
        startServing();
        const std::vector<HttpHeader> output = {{"output", "2"}};
        call("/stream/x", "good", output);
        const ReceivedRequest known = m_received->take();
        known.responder->startStream(200, eventHeaders());
        known.responder->write(eventText(1));
        known.responder->write(eventText(2));
        known.responder->finish();
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);

        const auto drainedAt = std::chrono::steady_clock::now();
        m_gateway->drain([] {});
        call("/stream/x", "good", output);
        const ReceivedRequest received = m_received->take();
        CPPUNIT_ASSERT(std::stoi(std::string(received.request.header("time-left")))
                       <= answerTime.count());
        waitUntil([drainedAt] {
            return std::chrono::steady_clock::now() - drainedAt > std::chrono::seconds(1);
        });
        received.responder->respond({503, {{"id", "1"}, {"full", "1"}}, ""});
        CPPUNIT_ASSERT_EQUAL(503, m_answers->take().value().status);
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

private:
    void assertServesCalls()
    {
        call("/once/x");
        m_received->take().responder->respond({200, {{"signed", "1"}, {"id", "1"}}, "done"});
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
    }

    static std::vector<HttpHeader> eventHeaders()
    {
        return {{"Content-Type", "text/event-stream"}, {"signed", "1"}, {"id", "1"}};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
