#include "GatewayFixture.h"
#include "IdleConnectionControl.h"
#include "RawPeer.h"

#include "foxtailring/base/MetricRegistry.h"

using namespace foxtailring;

// Server `a` resets connections beyond its limit; there is no other one.
class ConnectionLimitTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(ConnectionLimitTest);
    CPPUNIT_TEST(connectionIsGivenBackAfterAReset);
    CPPUNIT_TEST(idleConnectionsAreGivenBackAfterAReset);
    CPPUNIT_TEST(requestResetAfterItWasSentIsNotCalledNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        GatewayFixture::setUp();
        m_serverPorts[0] = m_limited.port();
        m_store->reads->take()(RangeResult {5, {{"config", "", 1}, {"servers/a", "a", 2}}});
        m_watch = m_store->watches->take();
        waitUntil([this] { return readiness() == 200; });
    }

    // Guards against an idle connection in the place of one at work at a server at its limit.
    void connectionIsGivenBackAfterAReset()
    {
        const auto first = begin("1");
        begin("2")->reset();
        CPPUNIT_ASSERT_EQUAL(502, m_answers->take().value().status);
        first->write(answer("1"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
        first->waitForClose();
        CPPUNIT_ASSERT(metrics().find("closed_total{client=\"requests\",cause=\"limit\"} 1")
                       != std::string::npos);
    }

    void idleConnectionsAreGivenBackAfterAReset()
    {
        MetricRegistry metrics;
        IdleConnectionControl control(*m_pool, *m_client, metrics, bootClock(),
                                      {"requests", 48, testDeadline});
        const Endpoint endpoint {"127.0.0.1", m_limited.port()};
        m_client->request(
            endpoint, {"GET", "/", {}, ""}, testDeadline,
            [box = m_answers](Result<HttpResponse> one) { box->put(std::move(one)); });
        RawPeer peer = m_limited.accept();
        peer.readUntil("\r\n\r\n");
        peer.write(answer("1"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), control.onConnectionFailed(endpoint));
        peer.waitForClose();
    }

    // Guards against a non-idempotent call that its caller repeats although it may have run.
    void requestResetAfterItWasSentIsNotCalledNotRun()
    {
        begin("1")->reset();
        CPPUNIT_ASSERT_EQUAL(502, m_answers->take().value().status);
    }

private:
    std::unique_ptr<RawPeer> begin(const std::string &id)
    {
        m_client->request(
            {"127.0.0.1", m_ports.callers},
            {"POST", "/once/x", {{"id", id}, {"key", "good"}}, "body"}, testDeadline,
            [box = m_answers](Result<HttpResponse> one) { box->put(std::move(one)); });
        std::unique_ptr<RawPeer> peer(new RawPeer(m_limited.accept()));
        peer->readUntil("body");
        return peer;
    }

    static std::string answer(const std::string &id)
    {
        return "HTTP/1.1 200 OK\r\nsigned: 1\r\nid: " + id + "\r\nContent-Length: 0\r\n\r\n";
    }

    RawServer m_limited;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionLimitTest);
