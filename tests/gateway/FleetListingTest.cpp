#include "GatewayFixture.h"
#include "SharedStore.h"
#include "SharedStoreClient.h"

#include <deque>
#include <set>

using namespace foxtailring;

// Several gateways that find each other through one store.
class FleetListingTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(FleetListingTest);
    CPPUNIT_TEST(gatewaysListThemselvesAndCountEachOther);
    CPPUNIT_TEST(gatewayWhoseKeyVanishedListsItselfAgain);
    CPPUNIT_TEST(gatewayListsItsDemand);
    CPPUNIT_TEST(shareRisesOnceAnOldGatewayIsKnown);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        GatewayFixture::setUp();
        m_gateway.reset();
        m_shared.put("config", "");
        m_shared.put("servers/a", "a");
        m_shared.setWrittenHook(
            [written = m_written](const std::string &key) { written->put(key); });
    }

    void tearDown() override
    {
        m_gateways.clear();
        GatewayFixture::tearDown();
    }

    // Guards against limits of the fleet that each gateway takes whole.
    void gatewaysListThemselvesAndCountEachOther()
    {
        startGateways(3);
        awaitListed({"gateways/g0", "gateways/g1", "gateways/g2"});
        for (const GatewayPorts &ports : m_gatewayPorts)
            waitUntil([&] { return metricOf(ports, "gateway_fleet_size") == "3"; });
    }

    // Guards against a gateway that nobody counts after its lease ended during an outage.
    void gatewayWhoseKeyVanishedListsItselfAgain()
    {
        startGateways(1);
        awaitListed({"gateways/g0"});
        m_shared.remove("gateways/g0");
        awaitListed({"gateways/g0"});
    }

    // Guards against a demand that is measured and never told.
    void gatewayListsItsDemand()
    {
        startGateways(1);
        awaitListed({"gateways/g0"});
        m_ports = m_gatewayPorts[0];
        m_shared.confirm();
        waitUntil([this] { return readiness() == 200; });
        waitUntil([this] {
            m_shared.confirm();
            callOnce();
            return m_shared.read("gateways/g0").pairs.at(0).value.starts_with("{\"demand\":");
        });
    }

    // Guards against a gateway that cannot read, or does not count, one of an older version.
    void shareRisesOnceAnOldGatewayIsKnown()
    {
        m_shared.put("gateways/old", "");
        startGateways(1);
        waitUntil([this] {
            m_shared.confirm();
            return metricOf(m_gatewayPorts[0], "gateway_idle_connection_share") == "24";
        });
    }

private:
    void callOnce()
    {
        call("/read/x");
        m_received->take().responder->respond(signedAnswer("x"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
    }

    void startGateways(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            GatewaySettings settings;
            settings.nodeId = "g" + std::to_string(i);
            settings.availabilityZone = "a";
            settings.regions = {{"a", "r"}};
            for (Endpoint *endpoint : {&settings.listen, &settings.ready, &settings.metrics})
                *endpoint = {"127.0.0.1", 0};
            m_gateways.emplace_back(settings, codec(), schema(),
                                    [this](WorkerPool &, Http1Client &) {
                                        return std::make_unique<SharedStoreClient>(m_shared);
                                    });
            m_gatewayPorts.push_back(m_gateways.back().listen().value());
        }
    }

    void awaitListed(std::set<std::string> keys)
    {
        while (!keys.empty())
            keys.erase(m_written->take());
    }

    std::string metricOf(const GatewayPorts &ports, const std::string &name)
    {
        const auto answer = std::make_shared<Mailbox<Result<HttpResponse>>>();
        m_client->request({"127.0.0.1", ports.metrics}, {"GET", "/metrics", {}, ""}, testDeadline,
                          [answer](const Result<HttpResponse> &one) { answer->put(one); });
        const std::string text = answer->take().value().body;
        const std::string start = "\n" + name + " ";
        const std::size_t from = text.find(start) + start.size();
        return text.substr(from, text.find('\n', from) - from);
    }

    SharedStore m_shared;
    std::deque<GatewayNode> m_gateways;
    std::vector<GatewayPorts> m_gatewayPorts;
    std::shared_ptr<Mailbox<std::string>> m_written = std::make_shared<Mailbox<std::string>>();
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetListingTest);
