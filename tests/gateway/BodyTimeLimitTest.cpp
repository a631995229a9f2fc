#include "BodyTimeLimit.h"
#include "foxtailring/decisions/configuration/RouteTable.h"
#include "GatewayFixture.h"
#include "RawPeer.h"

#include <optional>

using namespace foxtailring;

namespace {

using std::chrono::milliseconds;

std::shared_ptr<const RouteTable> twoRoutes()
{
    RouteConfig config;
    for (const auto &[prefix, timeout] : {std::pair("/short/", 300), std::pair("/long/", 9000)}) {
        HttpRoute route;
        route.name = prefix;
        route.host = "h";
        route.pathPrefix = prefix;
        route.timeout = milliseconds(timeout);
        config.routes.push_back(route);
    }
    return std::make_shared<const RouteTable>(std::move(config));
}

HttpRequest postHead(const std::string &target, std::vector<HttpHeader> headers = {})
{
    return {"POST", target, std::move(headers), ""};
}

} // namespace

// Tests how long a request's body may take.
class BodyTimeLimitTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(BodyTimeLimitTest);
    CPPUNIT_TEST(lesserOfPatienceAndRouteCounts);
    CPPUNIT_TEST(requestsWithoutARouteAreLimitedToo);
    CPPUNIT_TEST(patienceCountsWithoutConfiguration);
    CPPUNIT_TEST(configurationWithoutRoutesSetsNoTime);
    CPPUNIT_TEST(bodyIsRefusedAfterItsCallersPatience);
    CPPUNIT_TEST_SUITE_END();

public:
    void lesserOfPatienceAndRouteCounts()
    {
        assertLimit(300, postHead("/short/x"));
        assertLimit(200, postHead("/short/x", {{"patience", "200"}}));
        assertLimit(300, postHead("/short/x", {{"patience", "5000"}}));
        assertLimit(5000, postHead("/long/x", {{"patience", "5000"}}));
        assertLimit(0, postHead("/long/x", {{"patience", "0"}}));
    }

    // Such a body would be awaited without end although its request is to be refused.
    void requestsWithoutARouteAreLimitedToo()
    {
        assertLimit(9000, postHead("/none/x"));
        assertLimit(200, postHead("/none/x", {{"patience", "200"}}));
        assertLimit(9000, postHead("/short/x", {{"malformed", "1"}}));
    }

    void patienceCountsWithoutConfiguration()
    {
        const BackendCodec codec = GatewayFixture::codec();
        const BodyTimeLimit limit(codec);
        CPPUNIT_ASSERT(!limit.limit(postHead("/short/x")));
        CPPUNIT_ASSERT(limit.limit(postHead("/short/x", {{"patience", "200"}}))
                       == milliseconds(200));
    }

    // Guards against a 408 in place of the refusal of a request that has no route.
    void configurationWithoutRoutesSetsNoTime()
    {
        const BackendCodec codec = GatewayFixture::codec();
        BodyTimeLimit limit(codec);
        limit.setRoutes(std::make_shared<const RouteTable>(RouteConfig {}));
        CPPUNIT_ASSERT(!limit.limit(postHead("/short/x")));
        CPPUNIT_ASSERT(limit.limit(postHead("/short/x", {{"patience", "200"}}))
                       == milliseconds(200));
    }

    // A caller that sends a byte now and then must not hold its connection without end.
    void bodyIsRefusedAfterItsCallersPatience()
    {
        startServing();
        RawPeer peer(m_ports.callers);
        peer.write("POST /once/x HTTP/1.1\r\nid: 1\r\nkey: good\r\npatience: 400\r\n"
                   "Content-Length: 100000\r\n\r\n");
        const auto endsAt = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        bool isOpen = true;
        while (isOpen && !peer.hasInput() && std::chrono::steady_clock::now() < endsAt)
            isOpen = peer.tryWrite("x", milliseconds(20));
        CPPUNIT_ASSERT_MESSAGE("no answer", peer.hasInput());
        CPPUNIT_ASSERT(peer.readAll().starts_with("HTTP/1.1 408 "));
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

private:
    static void assertLimit(int expectedMs, const HttpRequest &head)
    {
        const BackendCodec codec = GatewayFixture::codec();
        BodyTimeLimit limit(codec);
        limit.setRoutes(twoRoutes());
        const auto time = limit.limit(head);
        CPPUNIT_ASSERT(time);
        CPPUNIT_ASSERT_EQUAL(expectedMs, static_cast<int>(time->count()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyTimeLimitTest);
