#include "foxtailring/transport/ConnectionCut.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"
#include "RawPeer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

using namespace foxtailring;

namespace {

constexpr std::string_view http10Request = "GET / HTTP/1.0\r\n\r\n";
// More than the buffers of both systems take.
constexpr std::size_t unreadBodyBytes = std::size_t(32) * 1024 * 1024;

} // namespace

// Responses without length or chunks, whose end is that of the connection: one that is cut must not
// end like a whole one.
class CutResponseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CutResponseTest);
    CPPUNIT_TEST(finishedResponseEndsInOrder);
    CPPUNIT_TEST(closedServerResetsAResponseInProgress);
    CPPUNIT_TEST(callerThatDoesNotReadIsReset);
    CPPUNIT_TEST(finishedResponseSurvivesACloseBehindIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool.emplace(2);
        start();
    }

    void tearDown() override
    {
        m_pool->stop();
        m_responders->clear();
        m_server.reset();
        m_pool.reset();
    }

    void finishedResponseEndsInOrder()
    {
        RawPeer peer(m_port);
        const auto responder = beginStream(peer);
        responder->finish();
        CPPUNIT_ASSERT(peer.readToOrderlyEnd());
    }

    // Guards against a part of an answer that its caller takes for the whole one at a stop.
    void closedServerResetsAResponseInProgress()
    {
        RawPeer peer(m_port);
        const auto responder = beginStream(peer);
        m_server->close();
        CPPUNIT_ASSERT(!peer.readToOrderlyEnd());
    }

    // Guards against the same for a caller that reads the rest too late.
    void callerThatDoesNotReadIsReset()
    {
        RawPeer peer(m_port, 4096);
        const auto responder = beginStream(peer);
        responder->write(std::string(unreadBodyBytes, 'x'));
        responder->finish();
        CPPUNIT_ASSERT(m_cuts->take() == ConnectionCut::Cause::IdleTimeout);
        CPPUNIT_ASSERT(!peer.readToOrderlyEnd());
    }

    // Guards against a reset in place of the end of a whole answer: its last bytes are written, but
    // the handler of the write runs behind the close.
    void finishedResponseSurvivesACloseBehindIt()
    {
        m_server.reset();
        m_pool.emplace(1);
        start();
        RawPeer peer(m_port);
        const auto responder = beginStream(peer);
        const auto entered = std::make_shared<Mailbox<bool>>();
        const auto mayGoOn = std::make_shared<Mailbox<bool>>();
        m_pool->post([entered, mayGoOn] {
            entered->put(true);
            mayGoOn->take();
        });
        entered->take();
        responder->finish();
        m_server->close();
        mayGoOn->put(true);
        CPPUNIT_ASSERT(peer.readToOrderlyEnd());
    }

private:
    void start()
    {
        HttpLimits limits;
        limits.idleTimeout = std::chrono::milliseconds(300);
        m_server.emplace(*m_pool, Endpoint {"127.0.0.1", 0}, limits,
                         [box = m_responders](const HttpRequest &,
                                              const std::shared_ptr<Http1Responder> &responder) {
                             box->put(responder);
                         });
        m_server->onConnectionCut(
            [box = m_cuts](const ConnectionCut &cut) { box->put(cut.cause); });
        m_port = m_server->listen().value();
    }

    // Returns when the caller has the first part.
    std::shared_ptr<Http1Responder> beginStream(RawPeer &peer)
    {
        peer.write(http10Request);
        auto responder = m_responders->take();
        responder->startStream(200, {});
        responder->write("first");
        CPPUNIT_ASSERT(peer.readUntil("first").ends_with("\r\n\r\nfirst"));
        return responder;
    }

    std::optional<WorkerPool> m_pool;
    std::optional<Http1Server> m_server;
    std::shared_ptr<Mailbox<std::shared_ptr<Http1Responder>>> m_responders =
        std::make_shared<Mailbox<std::shared_ptr<Http1Responder>>>();
    std::shared_ptr<Mailbox<ConnectionCut::Cause>> m_cuts =
        std::make_shared<Mailbox<ConnectionCut::Cause>>();
    std::uint16_t m_port = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutResponseTest);
