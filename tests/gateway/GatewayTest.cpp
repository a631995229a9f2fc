#include "GatewayFixture.h"

using namespace foxtailring;

// A whole gateway between real connections.
class GatewayTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(answerIsPassedOn);
    CPPUNIT_TEST(withoutConfigurationNothingIsDenied);
    CPPUNIT_TEST(requestWaitsForTheFirstRead);
    CPPUNIT_TEST(unknownKeyAndRouteAreDenied);
    CPPUNIT_TEST(keysAreNotUsedWithoutProof);
    CPPUNIT_TEST(callThatWasTurnedAwayGoesElsewhere);
    CPPUNIT_TEST(callThatMayHaveRunIsNotRepeated);
    CPPUNIT_TEST(streamGoesOnAtItsCopy);
    CPPUNIT_TEST(brokenStreamNeverLooksComplete);
    CPPUNIT_TEST(callerThatLeavesEndsTheWork);
    CPPUNIT_TEST(drainFinishesWhatRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerIsPassedOn()
    {
        serve();
        call("/once/x");
        Arrived arrived = m_arrived->take();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), arrived.server);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), arrived.request.body);
        arrived.responder->respond(signedAnswer("done"));
        const HttpResponse answer = m_answers->take().value();
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), answer.body);
    }

    // Guards against a 404 or 401 from a process that knows no configuration yet.
    void withoutConfigurationNothingIsDenied()
    {
        startGateway(std::chrono::milliseconds(20'000), std::chrono::milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(503, readiness());
        call("/once/x");
        const HttpResponse answer = m_answers->take().value();
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(!answer.header("Retry-After").empty());
    }

    // Guards against refusals by processes that all start anew and are asked at once
    // (planoteca-norte-large trouble-3, 92 refusals within 50 ms).
    void requestWaitsForTheFirstRead()
    {
        // Sent first, it is taken before the answer of the store.
        call("/once/x");
        CPPUNIT_ASSERT_EQUAL(503, readiness());
        serve();
        m_arrived->take().responder->respond(signedAnswer("done"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
    }

    void unknownKeyAndRouteAreDenied()
    {
        serve();
        call("/once/x", "bad");
        CPPUNIT_ASSERT_EQUAL(401, m_answers->take().value().status);
        call("/nowhere/x");
        CPPUNIT_ASSERT_EQUAL(404, m_answers->take().value().status);
    }

    // Guards against a withdrawn key that a gateway cut off from the store goes on accepting.
    void keysAreNotUsedWithoutProof()
    {
        // Shorter than the margin, so that no proof is young enough.
        startGateway(std::chrono::milliseconds(1));
        const auto read = m_store->reads->take();
        read(RangeResult {5, {{"config", "", 1}, {"servers/a", "a", 2}}});
        m_watch = m_store->watches->take();
        call("/once/x");
        CPPUNIT_ASSERT_EQUAL(503, m_answers->take().value().status);
        CPPUNIT_ASSERT_EQUAL(503, readiness());
    }

    void callThatWasTurnedAwayGoesElsewhere()
    {
        serve();
        call("/once/x");
        Arrived first = m_arrived->take();
        first.responder->respond({503, {{"full", "1"}}, ""});
        Arrived second = m_arrived->take();
        CPPUNIT_ASSERT(first.server != second.server);
        second.responder->respond(signedAnswer("done"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
    }

    // Guards against a call that runs twice.
    void callThatMayHaveRunIsNotRepeated()
    {
        serve();
        call("/once/x");
        m_arrived->take().responder->abort();
        CPPUNIT_ASSERT_EQUAL(502, m_answers->take().value().status);
        CPPUNIT_ASSERT(m_arrived->isEmpty());
    }

    void streamGoesOnAtItsCopy()
    {
        serve();
        call("/stream/x");
        Arrived first = m_arrived->take();
        first.responder->startStream(200, eventHeaders());
        first.responder->write(eventText(1) + eventText(2) + "id: 3\nda");
        first.responder->abort();
        Arrived second = m_arrived->take();
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

    void brokenStreamNeverLooksComplete()
    {
        serve();
        call("/stream/x");
        for (int attempt = 0; attempt < 2; ++attempt) {
            Arrived arrived = m_arrived->take();
            arrived.responder->startStream(200, eventHeaders());
            arrived.responder->write(eventText(attempt + 1));
            arrived.responder->abort();
        }
        CPPUNIT_ASSERT(!m_answers->take().isOk());
    }

    // Guards against servers that work for callers who have gone.
    void callerThatLeavesEndsTheWork()
    {
        serve();
        const auto stream = m_client->stream(
            {"127.0.0.1", m_ports.callers},
            {"POST", "/stream/x", {{"id", "1"}, {"key", "good"}}, ""}, StreamHooks {});
        Arrived arrived = m_arrived->take();
        const auto gone = std::make_shared<Mailbox<int>>();
        arrived.responder->onDisconnect([gone] { gone->put(1); });
        stream->cancel();
        gone->take();
    }

    void drainFinishesWhatRuns()
    {
        serve();
        call("/once/x");
        Arrived arrived = m_arrived->take();
        const auto drained = std::make_shared<Mailbox<int>>();
        m_gateway->drain([drained] { drained->put(1); });
        waitUntil([this] { return readiness() == 503; });
        CPPUNIT_ASSERT(drained->isEmpty());
        arrived.responder->respond(signedAnswer("done"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
        drained->take();
    }

private:
    static std::vector<HttpHeader> eventHeaders()
    {
        return {{"Content-Type", "text/event-stream"}, {"signed", "1"}};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
