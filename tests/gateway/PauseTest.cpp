#include "GatewayFixture.h"

using namespace foxtailring;

// A gateway in front of two servers that ask for pauses.
class PauseTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(PauseTest);
    CPPUNIT_TEST(callsGoToTheOtherServer);
    CPPUNIT_TEST(callsAreRefusedWhileBothServersPause);
    CPPUNIT_TEST(serverIsUsedAgainAfterItsPause);
    CPPUNIT_TEST(pauseInAnAnswerToAProbeIsKept);
    CPPUNIT_TEST(pauseInALateAnswerToAProbeIsKept);
    CPPUNIT_TEST(gaugeEndsWithThePause);
    CPPUNIT_TEST_SUITE_END();

public:
    void callsGoToTheOtherServer()
    {
        startServing();
        const std::string away = turnAwayOne(longPause);
        for (int i = 0; i < 10; ++i) {
            call("/once/x");
            ReceivedRequest received = m_received->take();
            CPPUNIT_ASSERT(received.server != away);
            received.responder->respond(signedAnswer("done"));
            CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
        }
    }

    // Guards against refusals that reach a server, or that send callers back before a pause ends.
    void callsAreRefusedWhileBothServersPause()
    {
        startServing();
        call("/once/x");
        for (int i = 0; i < 2; ++i)
            m_received->take().responder->respond(pauseAnswer(longPause));
        const HttpResponse first = m_answers->take().value();
        CPPUNIT_ASSERT_EQUAL(503, first.status);
        for (const char *path : {"/once/x", "/read/x", "/stream/x"}) {
            call(path);
            const HttpResponse refusal = m_answers->take().value();
            CPPUNIT_ASSERT_EQUAL(503, refusal.status);
            const double retryAfter = std::stod(std::string(refusal.header("Retry-After")));
            CPPUNIT_ASSERT(retryAfter > 30 && retryAfter <= 60.5);
        }
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

    void serverIsUsedAgainAfterItsPause()
    {
        startServing();
        call("/once/x");
        for (int i = 0; i < 2; ++i)
            m_received->take().responder->respond(pauseAnswer(shortPause));
        CPPUNIT_ASSERT_EQUAL(503, m_answers->take().value().status);
        const auto isServed = [this] {
            call("/once/x");
            waitUntil([this] { return !m_received->isEmpty() || !m_answers->isEmpty(); });
            if (m_received->isEmpty())
                return m_answers->take().value().status == 200;
            m_received->take().responder->respond(signedAnswer("done"));
            return m_answers->take().value().status == 200;
        };
        waitUntil(isServed);
    }

    // Guards against an engine that is probed for every run although it wants no request.
    void pauseInAnAnswerToAProbeIsKept()
    {
        startServing();
        m_receivesProbes = true;
        call("/stream/x");
        for (int i = 0; i < 2; ++i)
            m_received->take().responder->respond(pauseAnswer(longPause));
        waitUntil([this] { return arePaused(); });
        // On a slow machine the answers come after the probe is over, and the run was sent.
        waitUntil([this] { return !m_received->isEmpty() || !m_answers->isEmpty(); });
        if (!m_received->isEmpty())
            m_received->take().responder->respond(pauseAnswer(longPause));
        CPPUNIT_ASSERT_EQUAL(503, m_answers->take().value().status);
        call("/stream/x");
        CPPUNIT_ASSERT_EQUAL(503, m_answers->take().value().status);
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

    // Guards against a pause that is never known because its answers come after the probe is over.
    void pauseInALateAnswerToAProbeIsKept()
    {
        startServing();
        m_receivesProbes = true;
        call("/stream/x");
        ReceivedRequest probes[] = {m_received->take(), m_received->take()};
        // The run is placed without the reports.
        ReceivedRequest run = m_received->take();
        CPPUNIT_ASSERT_EQUAL(std::string("/stream/x"), run.request.target);
        for (ReceivedRequest &probe : probes)
            probe.responder->respond(pauseAnswer(longPause));
        waitUntil([this] { return arePaused(); });
        run.responder->respond(signedAnswer("done"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
    }

    void gaugeEndsWithThePause()
    {
        startServing();
        turnAwayOne(shortPause);
        CPPUNIT_ASSERT(metrics().find("gateway_pauses_total 1") != std::string::npos);
        waitUntil([this] {
            return metrics().find("gateway_server_pause_seconds{") == std::string::npos;
        });
    }

private:
    static constexpr std::chrono::milliseconds longPause {60'000};
    static constexpr std::chrono::milliseconds shortPause {300};

    static HttpResponse pauseAnswer(std::chrono::milliseconds pause)
    {
        return {503, {{"id", "1"}, {"full", "1"}, {"pause", std::to_string(pause.count())}}, ""};
    }

    bool arePaused()
    {
        const std::string text = metrics();
        return text.find("gateway_server_pause_seconds{server=\"a\"}") != std::string::npos
            && text.find("gateway_server_pause_seconds{server=\"b\"}") != std::string::npos;
    }

    /// Sends a call that one server turns away and the other one serves; returns the first one.
    std::string turnAwayOne(std::chrono::milliseconds pause)
    {
        call("/once/x");
        ReceivedRequest first = m_received->take();
        first.responder->respond(pauseAnswer(pause));
        ReceivedRequest second = m_received->take();
        CPPUNIT_ASSERT(first.server != second.server);
        second.responder->respond(signedAnswer("done"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
        return first.server;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PauseTest);
