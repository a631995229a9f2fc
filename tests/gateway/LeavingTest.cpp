#include "GatewayFixture.h"

using namespace foxtailring;

// A whole gateway before servers that say in their answers that they leave.
class LeavingTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(LeavingTest);
    CPPUNIT_TEST(serverThatSaysItLeavesGetsNoRequests);
    CPPUNIT_TEST(entryWrittenAgainChangesNothing);
    CPPUNIT_TEST(requestsAreRefusedIfAllServersLeave);
    CPPUNIT_TEST(streamAtALeavingServerGoesOn);
    CPPUNIT_TEST(unreadableHeaderLosesNoServer);
    CPPUNIT_TEST(metricsNameLeavingServers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests on the idle connection that the last answer has left.
    void serverThatSaysItLeavesGetsNoRequests()
    {
        startServing();
        leaveServer("a");
        for (int request = 0; request < 10; ++request) {
            call("/once/x");
            ReceivedRequest received = m_received->take();
            CPPUNIT_ASSERT_EQUAL(std::string("b"), received.server);
            received.responder->respond(signedAnswer("done"));
            CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
        }
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

    // A server that renews its entry before it changes it says ready there. Guards against taking
    // that for newer than its answer.
    void entryWrittenAgainChangesNothing()
    {
        startServing();
        leaveServer("a");
        const std::vector<WatchEvent> events {{false, {"servers/a", "a", 9}}};
        m_watch->onChanges(events, 9);
        leaveServer("b");
    }

    void requestsAreRefusedIfAllServersLeave()
    {
        startServing();
        leaveServer("a");
        leaveServer("b");
        for (const char *path : {"/once/x", "/read/x", "/stream/x"}) {
            call(path);
            const HttpResponse answer = m_answers->take().value();
            CPPUNIT_ASSERT_EQUAL(503, answer.status);
            CPPUNIT_ASSERT(!answer.header("Retry-After").empty());
        }
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

    void streamAtALeavingServerGoesOn()
    {
        startServing();
        call("/stream/x");
        ReceivedRequest received = m_received->take();
        received.responder->startStream(200,
                                        {{"Content-Type", "text/event-stream"},
                                         {"id", "1"},
                                         {"signed", "1"},
                                         {"leaving", "1"}});
        received.responder->write(eventText(1));
        waitUntil([this] { return isLeaving("a") || isLeaving("b"); });
        received.responder->write(eventText(2));
        received.responder->finish();
        const HttpResponse answer = m_answers->take().value();
        CPPUNIT_ASSERT_EQUAL(eventText(1) + eventText(2), answer.body);
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

    void unreadableHeaderLosesNoServer()
    {
        startServing();
        for (const std::string &value : {std::string("2"), std::string(4000, '1')}) {
            call("/once/x");
            ReceivedRequest received = m_received->take();
            CPPUNIT_ASSERT_EQUAL(std::string("a"), received.server);
            received.responder->respond(
                {200, {{"id", "1"}, {"signed", "1"}, {"leaving", value}}, "done"});
            CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
        }
        CPPUNIT_ASSERT(metrics().find("gateway_leaving_unreadable_total 1\n") != std::string::npos);
        leaveServer("a");
    }

    void metricsNameLeavingServers()
    {
        startServing();
        CPPUNIT_ASSERT(!isLeaving("a"));
        leaveServer("a");
        CPPUNIT_ASSERT(isLeaving("a"));
        CPPUNIT_ASSERT(metrics().find("gateway_servers_leaving_total{source=\"answer\"} 1\n")
                       != std::string::npos);
    }

private:
    // Calls once; the request must arrive at the server, and its answer says that the server
    // leaves.
    void leaveServer(const std::string &name)
    {
        call("/once/x");
        ReceivedRequest received = m_received->take();
        CPPUNIT_ASSERT_EQUAL(name, received.server);
        received.responder->respond(
            {200, {{"id", "1"}, {"signed", "1"}, {"leaving", "1"}}, "done"});
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
    }

    bool isLeaving(const std::string &name)
    {
        return metrics().find("gateway_server_leaving{server=\"" + name + "\"} 1\n")
            != std::string::npos;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);
