#include "Http2Fixture.h"
#include "RawPeer.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

// Streams whose connection is lost, replaced or drained.
class Http2ConnectionTest : public Http2Fixture
{
    CPPUNIT_TEST_SUITE(Http2ConnectionTest);
    CPPUNIT_TEST(connectionLossClosesEachStreamOnce);
    CPPUNIT_TEST(reconnectsToARestartedServer);
    CPPUNIT_TEST(oldStreamsSurviveAReconnect);
    CPPUNIT_TEST(reconnectCanCloseOldStreams);
    CPPUNIT_TEST(streamsOfASilentConnectionCanBeReset);
    CPPUNIT_TEST(stoppedServerFinishesItsStreams);
    CPPUNIT_TEST(unreachableServerIsUnavailable);
    CPPUNIT_TEST(closedClientOpensNothing);
    CPPUNIT_TEST(garbageDoesNotStopTheServer);
    CPPUNIT_TEST(hooksAreReleasedWithTheStream);
    CPPUNIT_TEST_SUITE_END();

public:
    // Each lost stream must be reported exactly once: otherwise its generation waits forever or is
    // resumed twice.
    void connectionLossClosesEachStreamOnce()
    {
        start([this](const StreamPointer &stream) { m_accepted.put(stream); });
        std::vector<StreamLog> logs(500);
        std::vector<StreamPointer> accepted;
        for (StreamLog &log : logs)
            log.follow(*m_client->open("/"));
        for (std::size_t i = 0; i < logs.size(); ++i)
            accepted.push_back(m_accepted.take());
        StreamLog server;
        server.follow(*accepted.front());
        m_server->close();
        for (StreamLog &log : logs)
            CPPUNIT_ASSERT_EQUAL(lost, log.next());
        CPPUNIT_ASSERT_EQUAL(lost, server.next());
        m_client->close();
        for (StreamLog &log : logs)
            CPPUNIT_ASSERT(log.hasNoEvent());
    }

    void reconnectsToARestartedServer()
    {
        start(echo);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), exchange("first"));
        CPPUNIT_ASSERT(m_client->isConnected());
        const std::uint16_t port = m_port;
        m_server.reset();
        waitUntil([this] { return !m_client->isConnected(); });
        StreamLog log;
        const auto refused = m_client->open("/");
        log.follow(*refused);
        CPPUNIT_ASSERT_EQUAL(notSent, log.next());
        m_server.emplace(*m_pool, Endpoint {"127.0.0.1", port}, echo);
        CPPUNIT_ASSERT_EQUAL(port, m_server->listen().value());
        CPPUNIT_ASSERT_EQUAL(std::string("second"), exchange("second"));
    }

    void oldStreamsSurviveAReconnect()
    {
        start(echo);
        StreamLog log;
        const auto old = m_client->open("/");
        log.follow(*old);
        old->send("before ");
        CPPUNIT_ASSERT_EQUAL(std::string("x"), exchange("x"));
        m_client->reconnect(false);
        CPPUNIT_ASSERT(!m_client->isConnected());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), exchange("new"));
        old->send("after");
        old->finish();
        CPPUNIT_ASSERT_EQUAL(ended, log.next());
        CPPUNIT_ASSERT_EQUAL(ok, log.next());
        CPPUNIT_ASSERT_EQUAL(std::string("before after"), log.data());
    }

    void reconnectCanCloseOldStreams()
    {
        start(echo);
        StreamLog log;
        const auto old = m_client->open("/");
        log.follow(*old);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), exchange("x"));
        m_client->reconnect(true);
        CPPUNIT_ASSERT_EQUAL(lost, log.next());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), exchange("new"));
    }

    // An attempt must not hang because its connection accepts no more bytes.
    void streamsOfASilentConnectionCanBeReset()
    {
        RawServer silent;
        m_client.emplace(*m_pool, Endpoint {"127.0.0.1", silent.port()});
        StreamLog log;
        const auto stream = m_client->open("/");
        log.follow(*stream);
        RawPeer peer = silent.accept();
        std::string more;
        more.resize(50'000'000, 'x'); // more than the buffers of both sockets hold
        stream->send(std::move(more));
        stream->reset();
        CPPUNIT_ASSERT_EQUAL(lost, log.next());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), stream->pendingBytes());
        m_client->reconnect(false);
        peer.readAll(); // returns after the client has closed the unused connection
    }

    void stoppedServerFinishesItsStreams()
    {
        start(echo);
        StreamLog log;
        const auto stream = m_client->open("/");
        log.follow(*stream);
        stream->send("begun ");
        CPPUNIT_ASSERT_EQUAL(std::string("x"), exchange("x"));
        m_server->stopAccepting();
        waitUntil([this] { return !m_client->isConnected(); });
        StreamLog late;
        const auto refused = m_client->open("/");
        late.follow(*refused);
        CPPUNIT_ASSERT_EQUAL(notSent, late.next());
        stream->send("finished");
        stream->finish();
        CPPUNIT_ASSERT_EQUAL(ended, log.next());
        CPPUNIT_ASSERT_EQUAL(ok, log.next());
        CPPUNIT_ASSERT_EQUAL(std::string("begun finished"), log.data());
    }

    void unreachableServerIsUnavailable()
    {
        m_client.emplace(*m_pool, Endpoint {"127.0.0.1", RawServer().port()});
        StreamLog log;
        const auto stream = m_client->open("/");
        log.follow(*stream);
        stream->send("x");
        stream->finish();
        CPPUNIT_ASSERT_EQUAL(notSent, log.next());
    }

    void closedClientOpensNothing()
    {
        start(echo);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), exchange("x"));
        m_client->close();
        StreamLog log;
        log.follow(*m_client->open("/"));
        CPPUNIT_ASSERT_EQUAL(notSent, log.next());
    }

    void garbageDoesNotStopTheServer()
    {
        start(echo);
        RawPeer peer(m_port);
        peer.write(std::string(100, 'g'));
        peer.readAll(); // returns after the server has closed
        CPPUNIT_ASSERT_EQUAL(std::string("x"), exchange("x"));
    }

    // Hooks usually hold the object that holds the stream; keeping them would leak both.
    void hooksAreReleasedWithTheStream()
    {
        start(echo);
        const auto held = std::make_shared<int>(0);
        {
            const auto withoutClosedHook = m_client->open("/");
            withoutClosedHook->onData([held, withoutClosedHook](std::string_view) {});
            withoutClosedHook->onEnd([held, withoutClosedHook] {});
            const auto reset = m_client->open("/");
            reset->onData([held, reset](std::string_view) {});
            reset->onEnd([held, reset] {});
            reset->onClosed([held, reset](const Result<Done> &) {});
            reset->reset();
        }
        CPPUNIT_ASSERT_EQUAL(std::string("x"), exchange("x"));
        m_server->close();
        waitUntil([&held] { return held.use_count() == 1; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http2ConnectionTest);
