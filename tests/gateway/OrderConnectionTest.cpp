#include "RawPeer.h"

#include "foxtailring/decisions/sessions/CopyReference.h"
#include "GatewayParts.h"
#include "ServerProbe.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>

using namespace foxtailring;

// Probes and orders for copies have no id that an answer could name.
class OrderConnectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderConnectionTest);
    CPPUNIT_TEST(releaseUsesNewConnection);
    CPPUNIT_TEST(secondAnswerToAnOrderIsDropped);
    CPPUNIT_TEST(probeUsesNoConnectionOfACall);
    CPPUNIT_TEST(endlessReportIsAbandoned);
    CPPUNIT_TEST(endlessAnswerToAnOrderIsAbandoned);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_parts.emplace(GatewaySettings(), codec());
        m_parts->http.request(
            {"127.0.0.1", m_server.port()}, {"GET", "/call", {}, ""}, testDeadline,
            [box = m_answers](Result<HttpResponse> answer) { box->put(std::move(answer)); });
        m_callPeer.reset(new RawPeer(m_server.accept()));
        m_callPeer->readUntil("\r\n\r\n");
        m_callPeer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        m_answers->take().value();
    }

    void tearDown() override
    {
        m_parts->pool.stop();
        m_callPeer.reset();
        m_parts.reset();
    }

    // Guards against a late answer to a call that is taken for the answer to an order: a handle of
    // another run's copy would mix two answers.
    void releaseUsesNewConnection()
    {
        m_parts->queue.post([this] { m_parts->releaseCopy("1", {address(), "h", ""}); });
        RawPeer peer = m_server.accept();
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("DELETE /h "));
    }

    // Guards against the second answer to an order that is taken for the answer to the next one.
    void secondAnswerToAnOrderIsDropped()
    {
        for (const std::string number : {"1", "2"}) {
            m_parts->queue.post([this] {
                m_parts->sendOrder(address(), {"POST", "/order", {}, ""}, testDeadline,
                                   [box = m_answers](Result<HttpResponse> answer) {
                                       box->put(std::move(answer));
                                   });
            });
            RawPeer peer = m_server.accept();
            peer.readUntil("\r\n\r\n");
            for (const std::string &body : {number + "a", number + "b"})
                peer.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + body);
            CPPUNIT_ASSERT_EQUAL(number + "a", m_answers->take().value().body);
        }
        CPPUNIT_ASSERT(m_answers->isEmpty());
    }

    // Guards against a late answer to a call that is taken for a server's report.
    void probeUsesNoConnectionOfACall()
    {
        startProbe();
        RawPeer peer = m_server.accept();
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("GET /load "));
    }

    // Guards against a report without an end that fills the memory.
    void endlessReportIsAbandoned()
    {
        startProbe();
        RawPeer peer = m_server.accept();
        peer.readUntil("\r\n\r\n");
        sendEndlessBody(peer);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_reportCounts->take());
    }

    // Guards against an answer to an order without an end that fills the memory.
    void endlessAnswerToAnOrderIsAbandoned()
    {
        m_parts->queue.post([this] {
            m_parts->sendOrder(
                address(), {"POST", "/order", {}, ""}, testDeadline,
                [box = m_answers](Result<HttpResponse> answer) { box->put(std::move(answer)); });
        });
        RawPeer peer = m_server.accept();
        peer.readUntil("\r\n\r\n");
        sendEndlessBody(peer);
        CPPUNIT_ASSERT(m_answers->take().error().code == ErrorCode::Malformed);
    }

private:
    static BackendCodec codec()
    {
        BackendCodec codec;
        codec.encodeLoadProbe = [] { return HttpRequest {"GET", "/load", {}, ""}; };
        codec.encodeCopyRelease = [](const std::string &handle) {
            return HttpRequest {"DELETE", "/" + handle, {}, ""};
        };
        codec.decodeLoadReport = [](const HttpResponse &,
                                    std::string_view) -> Result<ServerProbeResult> {
            return ServerProbeResult {};
        };
        return codec;
    }

    void startProbe()
    {
        ProbeServers probe;
        probe.servers.resize(1);
        probe.servers[0].info.address = address();
        probe.timeout = testDeadline;
        m_parts->queue.post([this, probe] {
            std::make_shared<ServerProbe>(
                *m_parts, GatewayRequest(), probe,
                [box = m_reportCounts](std::span<const ServerProbeResult> reports) {
                    box->put(reports.size());
                })
                ->start();
        });
    }

    // Sends up to 16 MiB of a body; the client closes the connection before that.
    static void sendEndlessBody(RawPeer &peer)
    {
        peer.write("HTTP/1.1 200 OK\r\n\r\n");
        const std::string block(256 * 1024, 'x');
        for (int i = 0; i < 64; ++i)
            peer.write(block);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }

    RawServer m_server;
    std::optional<GatewayParts> m_parts;
    std::unique_ptr<RawPeer> m_callPeer;
    std::shared_ptr<Mailbox<std::size_t>> m_reportCounts = std::make_shared<Mailbox<std::size_t>>();
    std::shared_ptr<Mailbox<Result<HttpResponse>>> m_answers =
        std::make_shared<Mailbox<Result<HttpResponse>>>();
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderConnectionTest);
