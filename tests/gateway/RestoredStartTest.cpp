#include "foxtailring/base/Clock.h"

#include "GatewayFixture.h"
#include "SharedStore.h"
#include "SharedStoreClient.h"

#include <iostream>

using namespace foxtailring;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds rewriteTime {2000};

std::string settledListing(int epoch)
{
    return "{\"settledEpoch\":" + std::to_string(epoch) + "}";
}

} // namespace

// A gateway that starts while the store may just have been restored from a backup.
class RestoredStartTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(RestoredStartTest);
    CPPUNIT_TEST(firstReadAfterARestoreProvesNoKeys);
    CPPUNIT_TEST(neverRestoredStoreCostsNoReadiness);
    CPPUNIT_TEST(neighbourThatKnowsTheEpochSparesTheWait);
    CPPUNIT_TEST(neighbourThatListsItselfLaterEndsTheWait);
    CPPUNIT_TEST(listingOfAnEarlierEpochProvesNothing);
    CPPUNIT_TEST(gatewayListsTheEpochOnceItIsSettled);
    CPPUNIT_TEST(fleetIsUnknownUntilTheEpochIsSettled);
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

    // Guards against a revoked key that a gateway accepts because it started after the restore.
    void firstReadAfterARestoreProvesNoKeys()
    {
        start(2);
        call("/read/x");
        const Result<HttpResponse> refusal = m_answers->take();
        CPPUNIT_ASSERT_MESSAGE("the request with a key was passed on", refusal.isOk());
        CPPUNIT_ASSERT_EQUAL(503, refusal.value().status);
        CPPUNIT_ASSERT(!refusal.value().header("Retry-After").empty());
        call("/open/x", "");
        m_received->take().responder->respond(signedAnswer("x"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
        CPPUNIT_ASSERT_EQUAL(503, readiness());
        CPPUNIT_ASSERT(timeToReady("epoch 2, alone") >= rewriteTime);
        call("/read/x");
        m_received->take().responder->respond(signedAnswer("x"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
    }

    // Guards against a new fleet that waits for a restore that never was.
    void neverRestoredStoreCostsNoReadiness()
    {
        start(0);
        CPPUNIT_ASSERT(timeToReady("epoch 0") < rewriteTime);
    }

    // Guards against restarts that cost 2 s each in a fleet that knows the epoch.
    void neighbourThatKnowsTheEpochSparesTheWait()
    {
        m_shared.put("gateways/other", settledListing(2));
        start(2);
        CPPUNIT_ASSERT(timeToReady("epoch 2, listed by another gateway") < rewriteTime);
    }

    void neighbourThatListsItselfLaterEndsTheWait()
    {
        start(2);
        waitUntil([this] { return metrics().find("gateway_store_epoch 2") != std::string::npos; });
        m_shared.put("gateways/other", settledListing(2));
        CPPUNIT_ASSERT(timeToReady("epoch 2, listed later") < rewriteTime);
    }

    // Guards against listings that are part of the backup.
    void listingOfAnEarlierEpochProvesNothing()
    {
        m_shared.put("gateways/other", settledListing(1));
        m_shared.put("gateways/old", "");
        start(2);
        CPPUNIT_ASSERT(timeToReady("epoch 2, earlier one listed") >= rewriteTime);
    }

    // Guards against an epoch that a gateway vouches for too early, or never.
    void gatewayListsTheEpochOnceItIsSettled()
    {
        start(2);
        std::string listed;
        while (listed.empty()) {
            m_written->take();
            const RangeResult read = m_shared.read("gateways/g0");
            listed = read.pairs.empty() ? "" : read.pairs.front().value;
            CPPUNIT_ASSERT(listed.empty() || bootClock()() - m_startedAt >= rewriteTime);
        }
        CPPUNIT_ASSERT_EQUAL(settledListing(2), listed);
    }

    // Guards against shares of limits as of a fleet of one, since a restore has ended all leases.
    void fleetIsUnknownUntilTheEpochIsSettled()
    {
        start(2);
        waitUntil([this] { return metrics().find("gateway_store_epoch 2") != std::string::npos; });
        CPPUNIT_ASSERT(hasFleetSize(350));
        m_shared.put("gateways/other", settledListing(2));
        waitUntil([this] { return hasFleetSize(2); });
    }

private:
    bool hasFleetSize(int size)
    {
        return metrics().find("gateway_fleet_size " + std::to_string(size) + "\n")
            != std::string::npos;
    }

    StoreSchema schema() const override
    {
        StoreSchema out = GatewayFixture::schema();
        out.decodeConfig = [](std::string_view) -> Result<RouteConfig> {
            RouteConfig decoded = config();
            HttpRoute open = decoded.routes[1];
            open.name = open.pathPrefix = "/open/";
            open.isPublic = true;
            decoded.routes.push_back(open);
            return decoded;
        };
        return out;
    }

    void start(std::int64_t epoch)
    {
        m_shared.setEpoch(epoch);
        GatewaySettings settings;
        settings.nodeId = "g0";
        settings.availabilityZone = "a";
        settings.regions = {{"a", "r"}};
        for (Endpoint *endpoint : {&settings.listen, &settings.ready, &settings.metrics})
            *endpoint = {"127.0.0.1", 0};
        settings.maxKeyRevocationDelay = std::chrono::seconds(20);
        m_startedAt = bootClock()();
        m_gateway.emplace(settings, codec(), schema(), [this](WorkerPool &, Http1Client &) {
            return std::make_unique<SharedStoreClient>(m_shared);
        });
        m_ports = m_gateway->listen().value();
    }

    Duration timeToReady(const char *name)
    {
        waitUntil([this] { return readiness() == 200; });
        const Duration time = bootClock()() - m_startedAt;
        std::cout << name << ": ready after "
                  << std::chrono::duration_cast<milliseconds>(time).count() << " ms\n";
        return time;
    }

    SharedStore m_shared;
    TimePoint m_startedAt;
    std::shared_ptr<Mailbox<std::string>> m_written = std::make_shared<Mailbox<std::string>>();
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStartTest);
