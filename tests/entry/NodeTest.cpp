#include "EntryFixture.h"

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/protocol/ConfigUpdate.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace foxtailring;
using namespace foxtailring::test;
using Fault = FakeSidecar::Fault;

// The entry as a node: configuration, links to sidecars, admin port and shutdown.
class NodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeTest);
    CPPUNIT_TEST(configurationReachesSidecars);
    CPPUNIT_TEST(restoredConfigurationReachesSidecars);
    CPPUNIT_TEST(deadSidecarGetsNoWork);
    CPPUNIT_TEST(adminPortAnswers);
    CPPUNIT_TEST(requestsWaitForConfiguration);
    CPPUNIT_TEST(shutdownFinishesWhatRuns);
    CPPUNIT_TEST_SUITE_END();

    static HttpRequest get(const std::string &path) { return {"GET", path, {}, ""}; }

    static NodeRevision node(const EntryNode &entry, const std::string &id)
    {
        const auto nodes = entry.nodes();
        const auto found = std::find_if(nodes.begin(), nodes.end(),
                                        [&](const NodeRevision &one) { return one.id == id; });
        CPPUNIT_ASSERT(found != nodes.end());
        return *found;
    }

public:
    void configurationReachesSidecars()
    {
        EntryFixture fixture;
        for (std::size_t i = 0; i < 2; ++i) {
            FakeSidecar &sidecar = fixture.sidecar(i);
            CPPUNIT_ASSERT(sidecar.wait([&] { return sidecar.configRevision == 1; }));
        }
        ConfigUpdate update;
        update.baseRevision = 1;
        update.revision = 5;
        CPPUNIT_ASSERT(fixture.entry().applyConfig(update).isOk());
        for (std::size_t i = 0; i < 2; ++i) {
            FakeSidecar &sidecar = fixture.sidecar(i);
            CPPUNIT_ASSERT(sidecar.wait([&] { return sidecar.configRevision == 5; }));
            EntryFixture::waitUntil(
                [&] { return node(fixture.entry(), sidecar.id()).revision == 5; });
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), sidecar.configUpdates);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), node(fixture.entry(), "entry-0").revision);
    }

    // Guards against a sidecar that keeps the revision of an ended epoch, since it is the higher
    // one.
    void restoredConfigurationReachesSidecars()
    {
        EntryFixture fixture;
        FakeSidecar &sidecar = fixture.sidecar(0);
        ConfigUpdate update;
        update.revision = 9;
        update.epoch = 1;
        CPPUNIT_ASSERT(fixture.entry().applyConfig(update).isOk());
        CPPUNIT_ASSERT(sidecar.wait([&] { return sidecar.configRevision == 9; }));
        update.revision = 4;
        update.epoch = 2;
        update.earlierEpochs = {1};
        CPPUNIT_ASSERT(fixture.entry().applyConfig(update).isOk());
        CPPUNIT_ASSERT(sidecar.wait([&] { return sidecar.configRevision == 4; }));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), sidecar.configEpoch);
    }

    // Guards against new work for a server that is gone while the VM list still names it.
    void deadSidecarGetsNoWork()
    {
        EntryFixture fixture;
        fixture.sidecar(0).die();
        EntryFixture::waitUntil(
            [&] { return node(fixture.entry(), fixture.sidecar(0).id()).state == "gone"; });
        for (int i = 0; i < 8; ++i) {
            const auto response =
                fixture.post("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":1})");
            CPPUNIT_ASSERT_EQUAL(200, response.status);
        }
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(0),
            fixture.entry().metrics().counterValue("retries_total{kind=\"generation\"}"));
    }

    void adminPortAnswers()
    {
        EntryFixture fixture(1);
        const std::uint16_t admin = fixture.adminPort();
        CPPUNIT_ASSERT_EQUAL(200, fixture.request(get("/healthz"), admin).status);
        CPPUNIT_ASSERT_EQUAL(200, fixture.request(get("/readyz"), admin).status);
        CPPUNIT_ASSERT_EQUAL(404, fixture.request(get("/operator/v1/status"), admin).status);
        fixture.entry().setOperatorHandler(
            [](const HttpRequest &request, const std::shared_ptr<Http1Responder> &responder) {
                responder->respond({200, {}, request.target});
            });
        CPPUNIT_ASSERT_EQUAL(std::string("/operator/v1/status"),
                             fixture.request(get("/operator/v1/status"), admin).body);
        const auto metrics = fixture.request(get("/metrics"), admin).body;
        CPPUNIT_ASSERT(metrics.find("config_revision 1") != std::string::npos);
    }

    // Guards against serving before the client accounts are known.
    void requestsWaitForConfiguration()
    {
        EntrySettings settings = EntryFixture::settings("fresh");
        EntryNode node(settings);
        const auto ports = node.listen();
        CPPUNIT_ASSERT(ports.isOk());
        EntryFixture fixture(1);
        const auto response = fixture.post("/v1/completions", "{}", {}, ports.value().callers);
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT(!response.header("Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(503, fixture.request(get("/readyz"), ports.value().admin).status);
    }

    // Guards against a shutdown that interrupts a request, or takes new ones it cannot finish.
    void shutdownFinishesWhatRuns()
    {
        // The silent stream must not be taken for lost, and resumed, while the shutdown begins.
        EntryFixture fixture(1, "lector", std::chrono::seconds(20), std::chrono::seconds(60));
        fixture.sidecar(0).setScript({Fault::Cut, 7});
        const std::string body = R"({"model":"m","prompt":"p","max_tokens":20,"stream":true})";
        const auto reader = fixture.stream(body);
        CPPUNIT_ASSERT(reader->waitForTokens(7));
        std::atomic<bool> drained = false;
        fixture.entry().drain([&] { drained = true; });
        CPPUNIT_ASSERT_EQUAL(503, fixture.request(get("/readyz"), fixture.adminPort()).status);
        EntryFixture::waitUntil([&] {
            const auto refused =
                fixture.request({"GET", "/v1/models", {{"Authorization", "Bearer key-a"}}, ""});
            return refused.status == 503
                && nlohmann::json::parse(refused.body)["outcome"] == "not-run";
        });
        CPPUNIT_ASSERT(!drained);
        fixture.sidecar(0).cutStreams();
        CPPUNIT_ASSERT(reader->waitForEnd());
        CPPUNIT_ASSERT_EQUAL(EntryFixture::answer("p1", 20), reader->text());
        CPPUNIT_ASSERT(reader->isDone());
        EntryFixture::waitUntil([&] { return drained.load(); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);
