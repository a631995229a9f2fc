#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/RequestMemory.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"
#include "RawPeer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <optional>
#include <string>

using namespace foxtailring;

namespace {

/// Tells how much input one connection holds.
class ReportedMemory : public RequestMemory
{
public:
    explicit ReportedMemory(std::atomic<std::size_t> &bytes)
        : m_bytes(bytes)
    {
    }

    bool tryResize(std::size_t bytes) override
    {
        m_bytes = bytes;
        return true;
    }
    void onArrived() override { }
    HttpResponse refuse() override { return {}; }

private:
    std::atomic<std::size_t> &m_bytes;
};

} // namespace

// Connections whose caller sends more behind a request than the server reads before the answer.
class PipelinedInputTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PipelinedInputTest);
    CPPUNIT_TEST(requestBeforeMuchInputIsAnswered);
    CPPUNIT_TEST(resetBehindUnreadInputIsDetected);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool.emplace(1);
        m_server.emplace(*m_pool, Endpoint {"127.0.0.1", 0}, HttpLimits {},
                         [this](const HttpRequest &, std::shared_ptr<Http1Responder> responder) {
                             m_responders.put(std::move(responder));
                         });
        m_server->limitMemory([this] { return std::make_shared<ReportedMemory>(m_heldBytes); });
        m_port = m_server->listen().value();
    }

    void tearDown() override
    {
        m_responders.clear();
        m_pool->stop();
        m_server.reset();
        m_pool.reset();
    }

    // Guards against a connection that is destroyed when it stops reading, so that its caller gets
    // a reset and the server counts a request forever.
    void requestBeforeMuchInputIsAnswered()
    {
        RawPeer peer(m_port);
        peer.write(std::string(firstRequest) + followingInput());
        const auto responder = m_responders.take();
        waitUntilReadingStops();
        responder->respond({200, {}, "first"});
        CPPUNIT_ASSERT_EQUAL(std::string("first"), lastOf(peer.readUntil("first"), 5));
        waitUntil([this] { return m_server->openRequestCount() == 0; });
    }

    // Guards against work for a caller that is gone: no read reports the reset.
    void resetBehindUnreadInputIsDetected()
    {
        Mailbox<bool> disconnects;
        RawPeer peer(m_port);
        peer.write(std::string(firstRequest) + followingInput());
        const auto responder = m_responders.take();
        responder->onDisconnect([&disconnects] { disconnects.put(true); });
        waitUntilReadingStops();
        peer.reset();
        CPPUNIT_ASSERT(disconnects.take());
        waitUntil([this] { return m_server->openRequestCount() == 0; });
    }

private:
    static constexpr std::string_view firstRequest = "GET /a HTTP/1.1\r\n\r\n";

    // A connection stops reading when it holds this much.
    static constexpr std::size_t mostReadAhead = HttpLimits {}.maxHeaderBytes + 64 * 1024;

    static std::string followingInput() { return std::string(2 * mostReadAhead, 'x'); }

    static std::string lastOf(const std::string &text, std::size_t size)
    {
        return text.substr(text.size() - std::min(size, text.size()));
    }

    // The only worker takes the turn when the last read is handled.
    void waitUntilReadingStops()
    {
        waitUntil([this] { return m_heldBytes >= mostReadAhead; });
        Mailbox<bool> turns;
        m_pool->post([&turns] { turns.put(true); });
        turns.take();
    }

    std::atomic<std::size_t> m_heldBytes = 0;
    std::optional<WorkerPool> m_pool;
    std::optional<Http1Server> m_server;
    Mailbox<std::shared_ptr<Http1Responder>> m_responders;
    std::uint16_t m_port = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PipelinedInputTest);
