#include "foxtailring/store/RangeResult.h"
#include "foxtailring/store/WatchEvent.h"

#include "GatewayPartsFixture.h"
#include "GatewayPublisher.h"
#include "SharedStore.h"
#include "SharedStoreClient.h"
#include "SpeedReportWatch.h"

#include <atomic>
#include <utility>

using namespace foxtailring;
using std::chrono::milliseconds;

namespace {

/// \brief A store client that does not pass on the answers of some writes, which take effect.
class LossyClient : public SharedStoreClient
{
public:
    using SharedStoreClient::SharedStoreClient;

    void compareAndSwap(const std::string &key, const std::string &value, StoreRevision expected,
                        WriteHook hook, StoreLease lease) override
    {
        if (!key.starts_with("engine-speeds/") || lostAnswers == 0)
            return SharedStoreClient::compareAndSwap(key, value, expected, hook, lease);
        --lostAnswers;
        SharedStoreClient::compareAndSwap(
            key, value, expected, [](const auto &) {}, lease);
        hook(Error {ErrorCode::Timeout, "answer lost"});
    }

    void keepAlive(StoreLease lease, RenewalHook hook) override
    {
        ++renewals;
        SharedStoreClient::keepAlive(lease, std::move(hook));
    }

    std::atomic<int> lostAnswers = 0;
    std::atomic<int> renewals = 0;
};

} // namespace

// Gateway `g` between the store and what it knows of the speed of engines.
class SpeedReportTest : public GatewayPartsFixture
{
    CPPUNIT_TEST_SUITE(SpeedReportTest);
    CPPUNIT_TEST(readingsAreWrittenWhereRunsArePlacedBySpeed);
    CPPUNIT_TEST(nothingIsWrittenElsewhere);
    CPPUNIT_TEST(writeWhoseAnswerIsLostIsRepeated);
    CPPUNIT_TEST(reportIsWrittenAgainToARestoredStore);
    CPPUNIT_TEST(reportsOfOthersAreFollowed);
    CPPUNIT_TEST(unreadableReportIsDropped);
    CPPUNIT_TEST(snapshotReplacesReports);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        GatewayPartsFixture::setUp();
        m_watch.emplace(*m_parts);
        m_publisher.emplace(*m_parts, m_client);
    }

    void readingsAreWrittenWhereRunsArePlacedBySpeed()
    {
        startPublishing(true);
        waitUntil([this] { return stored() == "{\"s\":{\"10.0.0.1:80\":[35000,1]}}"; });
    }

    // Guards against keys in deployments whose runs are not placed by speed.
    void nothingIsWrittenElsewhere()
    {
        startPublishing(false);
        // The lease is renewed after some seconds, in which a report would have been due.
        waitUntil([this] { return m_client.renewals > 0; });
        CPPUNIT_ASSERT_EQUAL(std::string(), stored());
    }

    // Guards against a gateway that never writes again since it expects the revision before.
    void writeWhoseAnswerIsLostIsRepeated()
    {
        m_client.lostAnswers = 1;
        startPublishing(true);
        waitUntil([this] { return hasMetric("{outcome=\"failed\"} 1"); });
        waitUntil([this] { return hasMetric("{outcome=\"conflict\"} 1"); });
        waitUntil([this] { return hasMetric("{outcome=\"written\"} 1"); });
    }

    // Guards against a report that is missing until an engine changes.
    void reportIsWrittenAgainToARestoredStore()
    {
        startPublishing(true);
        waitUntil([this] { return !stored().empty(); });
        m_shared.remove("engine-speeds/g");
        m_parts->queue.post([this] { m_publisher->onStoreRestored(); });
        waitUntil([this] { return !stored().empty(); });
    }

    void reportsOfOthersAreFollowed()
    {
        put("engine-speeds/g", report);
        CPPUNIT_ASSERT_EQUAL(0u, runs());
        put("engine-speeds/other", report);
        CPPUNIT_ASSERT_EQUAL(2u, runs());
        put("engine-speeds/other", "{\"s\":{\"10.0.0.1:80\":[35000,3]}}");
        CPPUNIT_ASSERT_EQUAL(3u, runs());
        const WatchEvent removed {true, {"engine-speeds/other", "", 4}};
        m_watch->applyEvents({&removed, 1});
        CPPUNIT_ASSERT_EQUAL(0u, runs());
    }

    // Guards against a report that ends the process, or drops those of the others.
    void unreadableReportIsDropped()
    {
        put("engine-speeds/a", report);
        put("engine-speeds/b", report);
        put("engine-speeds/b", "{\"s\":[1]}");
        CPPUNIT_ASSERT_EQUAL(2u, runs());
        CPPUNIT_ASSERT(hasMetric("{outcome=\"unreadable\"} 1"));
    }

    // Guards against reports of gateways that ended while the store could not be followed.
    void snapshotReplacesReports()
    {
        put("engine-speeds/a", report);
        put("engine-speeds/b", report);
        const KeyValue pairs[] {{"engine-speeds/b", report, 5}, {"servers/x", "", 6}};
        m_watch->applySnapshot(pairs);
        CPPUNIT_ASSERT_EQUAL(2u, runs());
    }

private:
    static constexpr const char *report = "{\"s\":{\"10.0.0.1:80\":[35000,2]}}";

    void releaseUsers() override
    {
        m_publisher.reset();
        m_watch.reset();
    }
    void startPublishing(bool placesBySpeed)
    {
        m_parts->queue.post([this, placesBySpeed] {
            RouteConfig ranked = config();
            for (HttpRoute &route : ranked.routes)
                route.kind = CallKind::Stream;
            ranked.routes.push_back(ranked.routes[0]);
            ranked.routes.back().priority += placesBySpeed ? 1 : 0;
            m_parts->routes = std::make_shared<RouteTable>(ranked);
            BackendInfo server;
            server.service = "s";
            server.address = "10.0.0.1:80";
            m_parts->servers.speeds().recordRun(server, milliseconds(35));
            m_parts->fleet.replace(std::vector<std::string> {"g"}, m_parts->clock());
        });
        m_publisher->start();
    }
    void put(const std::string &key, const std::string &value)
    {
        const WatchEvent event {false, {key, value, 1}};
        m_watch->applyEvents({&event, 1});
    }
    unsigned runs() const { return m_parts->servers.speeds().merged("s", "10.0.0.1:80").runs; }
    std::string stored() const
    {
        const auto pairs = m_shared.read("engine-speeds/g").pairs;
        return pairs.empty() ? "" : pairs.front().value;
    }
    bool hasMetric(const std::string &text) const
    {
        return m_parts->metrics.prometheusText().find("gateway_speed_reports_total" + text)
            != std::string::npos;
    }

    SharedStore m_shared;
    LossyClient m_client {m_shared};
    std::optional<SpeedReportWatch> m_watch;
    std::optional<GatewayPublisher> m_publisher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpeedReportTest);
