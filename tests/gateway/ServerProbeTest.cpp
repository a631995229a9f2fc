#include "ServerProbe.h"
#include "GatewayPartsFixture.h"

#include "foxtailring/gateway/GatewayRequest.h"

using namespace foxtailring;

// What probes tell of servers while the gateway itself is late.
class ServerProbeTest : public GatewayPartsFixture
{
    CPPUNIT_TEST_SUITE(ServerProbeTest);
    CPPUNIT_TEST(serverIsNotSilentIfTheGatewayWasBusy);
    CPPUNIT_TEST(silentServerIsToldByAGatewayThatWasBusy);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::milliseconds timeout {120};

public:
    // Guards against suspecting all servers at once when the gateway's only thread was busy.
    void serverIsNotSilentIfTheGatewayWasBusy()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reportsOfABusyGateway());
    }

    // Guards against waiting for a server that does not answer either way.
    void silentServerIsToldByAGatewayThatWasBusy()
    {
        m_receivesProbes = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), reportsOfABusyGateway());
    }

private:
    // Probes server `a`; the gateway's thread is busy until the probe is overdue.
    std::size_t reportsOfABusyGateway()
    {
        ProbeServers probe;
        probe.timeout = timeout;
        probe.servers.emplace_back();
        probe.servers.front().info.id = "a";
        probe.servers.front().info.address = "127.0.0.1:" + std::to_string(m_serverPorts[0]);
        const auto serverProbe = std::make_shared<ServerProbe>(
            *m_parts, m_request, probe,
            [box = m_counts](std::span<const ServerProbeResult> reports) {
                box->put(reports.size());
            });
        m_parts->queue.post([this, serverProbe] {
            serverProbe->start();
            const TimePoint busyUntil = m_parts->clock() + 2 * timeout;
            while (m_parts->clock() < busyUntil) { }
        });
        return m_counts->take();
    }

    GatewayRequest m_request;
    std::shared_ptr<Mailbox<std::size_t>> m_counts = std::make_shared<Mailbox<std::size_t>>();
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerProbeTest);
