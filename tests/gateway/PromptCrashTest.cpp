#include "foxtailring/transport/Timer.h"

#include "GatewayFixture.h"
#include "SharedStore.h"
#include "SharedStoreClient.h"

#include <atomic>
#include <deque>
#include <vector>

using namespace foxtailring;

namespace {

using std::chrono::milliseconds;

} // namespace

// Several gateways in front of two servers that break down when they begin to answer a prompt.
class PromptCrashTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(PromptCrashTest);
    CPPUNIT_TEST(gatewaysTellEachOtherOfAPartThatCrashesServers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        GatewayFixture::setUp();
        m_gateway.reset();
        for (auto &server : m_servers)
            server.reset();
        for (int i = 0; i < 2; ++i)
            startServer(i);
        m_store.put("config", "");
        m_store.put("servers/a", "a");
        m_store.put("servers/b", "b");
        for (int i = 0; i < 3; ++i)
            startGateway(i);
        m_confirmations.emplace(*m_pool);
        m_confirmations->every(milliseconds(200), [this] { m_store.confirm(); });
    }

    void tearDown() override
    {
        m_confirmations.reset();
        m_gateways.clear();
        GatewayFixture::tearDown();
    }

    // Guards against requests that crash two servers or more at each gateway.
    void gatewaysTellEachOtherOfAPartThatCrashesServers()
    {
        CPPUNIT_ASSERT_EQUAL(502, call(0, "shared,deadly").status);
        CPPUNIT_ASSERT_EQUAL(2, m_crashes.load());
        waitUntil([this] { return isQuarantinePublished(); });
        for (const std::size_t gateway : {1, 2}) {
            const HttpResponse refusal = call(gateway, "shared,deadly");
            CPPUNIT_ASSERT_EQUAL(503, refusal.status);
            CPPUNIT_ASSERT(refusal.header("Retry-After").empty());
            CPPUNIT_ASSERT_EQUAL(200, call(gateway, "shared,other").status);
        }
        CPPUNIT_ASSERT_EQUAL(2, m_crashes.load());
    }

private:
    /// Longer than failures that count as one.
    static constexpr milliseconds timeToCrash {900};

    void startServer(int index)
    {
        m_servers[index].emplace(
            *m_pool, Endpoint {"127.0.0.1", 0}, HttpLimits(),
            [this](const HttpRequest &request, const std::shared_ptr<Http1Responder> &responder) {
                if (request.target == "/load")
                    return responder->respond({200, {}, ""});
                if (request.header("parts").find("deadly") != std::string_view::npos)
                    return crash(responder);
                responder->respond({200,
                                    {{"signed", "1"}, {"Content-Type", "text/event-stream"}},
                                    eventText(1) + eventText(2) + eventText(3)});
            });
        m_serverPorts[index] = m_servers[index]->listen().value();
    }

    void crash(const std::shared_ptr<Http1Responder> &responder)
    {
        ++m_crashes;
        const auto timer = std::make_shared<Timer>(*m_pool);
        timer->once(timeToCrash, [timer, responder] { responder->abort(); });
    }

    void startGateway(int index)
    {
        GatewaySettings settings;
        settings.nodeId = "g" + std::to_string(index);
        settings.availabilityZone = "a";
        settings.regions = {{"a", "r"}, {"b", "r"}};
        for (Endpoint *endpoint : {&settings.listen, &settings.ready, &settings.metrics})
            *endpoint = {"127.0.0.1", 0};
        settings.maxKeyRevocationDelay = milliseconds(20'000);
        m_gateways.emplace_back(settings, codec(), schema(), [this](WorkerPool &, Http1Client &) {
            return std::make_unique<SharedStoreClient>(m_store);
        });
        m_callerPorts.push_back(m_gateways.back().listen().value().callers);
    }

    HttpResponse call(std::size_t gateway, const std::string &parts)
    {
        const auto box = std::make_shared<Mailbox<Result<HttpResponse>>>();
        m_client->request(
            {"127.0.0.1", m_callerPorts[gateway]},
            {"POST", "/stream/x", {{"id", "1"}, {"key", "good"}, {"parts", parts}}, "body"},
            testDeadline, [box](Result<HttpResponse> answer) { box->put(std::move(answer)); });
        return box->take().value();
    }

    bool isQuarantinePublished() const
    {
        const auto reports = m_store.read("prompt-crashes/g0").pairs;
        return !reports.empty() && reports.front().value.find("[[\"deadly\"") != std::string::npos;
    }

    SharedStore m_store;
    std::deque<GatewayNode> m_gateways;
    std::vector<std::uint16_t> m_callerPorts;
    std::optional<Timer> m_confirmations;
    std::atomic<int> m_crashes = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptCrashTest);
