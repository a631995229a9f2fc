#include "GatewayFixture.h"
#include "SharedStore.h"
#include "SharedStoreClient.h"

#include "foxtailring/transport/Timer.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>

using namespace foxtailring;

namespace {

using std::chrono::milliseconds;

} // namespace

// Several gateways in front of two servers that name a rate limit.
class RateLimitTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(RateLimitTest);
    CPPUNIT_TEST(gatewaysTogetherKeepTheLimitThatServersName);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        GatewayFixture::setUp();
        m_gateway.reset();
        for (auto &server : m_servers)
            server.reset();
        startServers();
        m_store.put("config", "");
        m_store.put("servers/a", "a");
        m_store.put("servers/b", "b");
    }

    void tearDown() override
    {
        m_load.reset();
        m_confirmations.reset();
        m_gateways.clear();
        GatewayFixture::tearDown();
    }

    // Guards against gateways that ignore a limit, or that each take all of it.
    void gatewaysTogetherKeepTheLimitThatServersName()
    {
        constexpr std::size_t gatewayCount = 12;
        startGateways(gatewayCount);
        startLoad(gatewayCount);
        runLoadFor(std::chrono::seconds(2));
        m_isLimited = true;
        const TimePoint namedAt = m_clock();
        runLoadFor(std::chrono::seconds(13));
        m_load->cancel();
        for (const char *server : {"a", "b"}) {
            const std::size_t most = mostInWindow(server, namedAt + window);
            const std::string text = std::string(server) + " got " + std::to_string(most);
            CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(most) <= 1.5 * 4 * limit + 5);
            CPPUNIT_ASSERT_MESSAGE(text, most > 0);
        }
    }

private:
    static constexpr double limit = 8.4; ///< requests per second
    static constexpr std::chrono::seconds window {4};
    static constexpr milliseconds callInterval {15};

    void startServers()
    {
        for (int i = 0; i < 2; ++i) {
            const std::string name = i == 0 ? "a" : "b";
            m_servers[i].emplace(*m_pool, Endpoint {"127.0.0.1", 0}, HttpLimits(),
                                 [this, name](const HttpRequest &request,
                                              const std::shared_ptr<Http1Responder> &responder) {
                                     answer(name, request, *responder);
                                 });
            m_serverPorts[i] = m_servers[i]->listen().value();
        }
    }

    void answer(const std::string &server, const HttpRequest &request, Http1Responder &responder)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_arrivals[server].push_back(m_clock());
        }
        HttpResponse response = signedAnswer("done", std::string(request.header("id")));
        if (m_isLimited)
            response.headers.push_back({"limit", std::to_string(limit)});
        responder.respond(std::move(response));
    }

    void startGateways(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            GatewaySettings settings;
            settings.nodeId = "g" + std::to_string(i);
            settings.availabilityZone = i % 2 == 0 ? "a" : "b";
            settings.regions = {{"a", "r"}, {"b", "r"}};
            for (Endpoint *endpoint : {&settings.listen, &settings.ready, &settings.metrics})
                *endpoint = {"127.0.0.1", 0};
            settings.maxKeyRevocationDelay = milliseconds(20'000);
            m_gateways.emplace_back(settings, codec(), schema(),
                                    [this](WorkerPool &, Http1Client &) {
                                        return std::make_unique<SharedStoreClient>(m_store);
                                    });
            m_callerPorts.push_back(m_gateways.back().listen().value().callers);
        }
        m_confirmations.emplace(*m_pool);
        m_confirmations->every(milliseconds(200), [this] { m_store.confirm(); });
    }

    // Half of the calls go to two of the gateways.
    void startLoad(std::size_t gatewayCount)
    {
        m_load.emplace(*m_pool);
        m_load->every(callInterval, [this, gatewayCount] {
            const std::size_t number = m_callCount++;
            const std::size_t gateway =
                number % 2 == 0 ? number / 2 % 2 : number / 2 % gatewayCount;
            const char *path = number % 3 == 0 ? "/read/x" : "/once/x";
            m_client->request(
                {"127.0.0.1", m_callerPorts[gateway]},
                {"POST", path, {{"id", std::to_string(number)}, {"key", "good"}}, "body"},
                testDeadline, [](const Result<HttpResponse> &) {});
        });
    }

    void runLoadFor(milliseconds duration)
    {
        const auto over = std::make_shared<Mailbox<bool>>();
        Timer timer(*m_pool);
        timer.once(duration, [over] { over->put(true); });
        over->take();
    }

    std::size_t mostInWindow(const std::string &server, TimePoint from)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<TimePoint> &arrivals = m_arrivals[server];
        std::sort(arrivals.begin(), arrivals.end());
        std::size_t most = 0;
        for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
             first != arrivals.end(); ++first) {
            const auto end = std::upper_bound(first, arrivals.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    const Clock m_clock = bootClock();
    SharedStore m_store;
    std::deque<GatewayNode> m_gateways;
    std::vector<std::uint16_t> m_callerPorts;
    std::optional<Timer> m_confirmations;
    std::optional<Timer> m_load;
    std::atomic<std::size_t> m_callCount = 0;
    std::atomic<bool> m_isLimited = false;
    std::mutex m_mutex;
    std::map<std::string, std::vector<TimePoint>> m_arrivals; ///< by server
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitTest);
