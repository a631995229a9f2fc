#include "GatewayFixture.h"

#include <future>

using namespace foxtailring;

// A gateway whose configurations are large and change often. A configuration is the text of its
// version, and decoding any but the first one waits until the gate is open.
class ConfigStormTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(ConfigStormTest);
    CPPUNIT_TEST(onlyTheNewestOfAnAnswerIsDecoded);
    CPPUNIT_TEST(waitingConfigurationIsReplaced);
    CPPUNIT_TEST(unreadableConfigurationHidesNoOlderOne);
    CPPUNIT_TEST(requestsAreDecidedWhileAConfigurationIsDecoded);
    CPPUNIT_TEST(requestsAreDecidedWhileAnAnswerOfTheStoreIsRead);
    CPPUNIT_TEST(serverIsGoneWhileAConfigurationIsDecoded);
    CPPUNIT_TEST(keysAreProvedAfterTheConfiguration);
    CPPUNIT_TEST(unreadableConfigurationProvesNoKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_gate = std::make_shared<std::promise<void>>();
        m_opened = m_gate->get_future().share();
        m_decoding->clear();
        GatewayFixture::setUp();
    }

    void tearDown() override
    {
        openGate();
        GatewayFixture::tearDown();
    }

    // Guards against decoding configurations that a later one of the same answer has replaced.
    void onlyTheNewestOfAnAnswerIsDecoded()
    {
        startServing();
        openGate();
        change({config("2", 10), config("3", 11), config("4", 12)});
        awaitVersion(4);
        CPPUNIT_ASSERT_EQUAL(std::string("4"), m_decoding->take());
        CPPUNIT_ASSERT(m_decoding->isEmpty());
        CPPUNIT_ASSERT(contains("\ngateway_configs_superseded_total 2\n"));
    }

    // Guards against a gateway that falls behind by one configuration after the other.
    void waitingConfigurationIsReplaced()
    {
        startServing();
        change({config("2", 10)});
        CPPUNIT_ASSERT_EQUAL(std::string("2"), m_decoding->take());
        change({config("3", 11)});
        change({config("4", 12)});
        awaitRevision(12);
        openGate();
        awaitVersion(4);
        CPPUNIT_ASSERT_EQUAL(std::string("4"), m_decoding->take());
        CPPUNIT_ASSERT(m_decoding->isEmpty());
    }

    void unreadableConfigurationHidesNoOlderOne()
    {
        startServing();
        openGate();
        change({config("2", 10), config("3", 11), config("bad", 12)});
        awaitVersion(3);
        CPPUNIT_ASSERT(contains("\nconfig_unreadable_total 1\n"));
    }

    // Guards against requests that wait for the decoding of a large configuration.
    void requestsAreDecidedWhileAConfigurationIsDecoded()
    {
        startServing();
        change({config("2", 10)});
        CPPUNIT_ASSERT_EQUAL(std::string("2"), m_decoding->take());
        call("/once/x");
        m_received->take().responder->respond(signedAnswer("done"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
    }

    // Guards against requests that wait for the JSON of an answer of several megabytes.
    void requestsAreDecidedWhileAnAnswerOfTheStoreIsRead()
    {
        startServing();
        std::promise<void> reading;
        m_storePool->post([&reading, opened = m_opened] {
            reading.set_value();
            opened.wait();
        });
        reading.get_future().wait();
        call("/once/x");
        m_received->take().responder->respond(signedAnswer("done"));
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
    }

    // Guards against a request to a server whose end came with a large configuration.
    void serverIsGoneWhileAConfigurationIsDecoded()
    {
        startServing();
        change({config("2", 10), {true, {"servers/a", "", 11}}});
        awaitRevision(11);
        call("/once/x");
        const ReceivedRequest received = m_received->take();
        received.responder->respond(signedAnswer("done"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), received.server);
        CPPUNIT_ASSERT_EQUAL(200, m_answers->take().value().status);
    }

    // Guards against a key that counts as proved although the configuration that withdraws it is
    // still being decoded.
    void keysAreProvedAfterTheConfiguration()
    {
        startGateway(std::chrono::milliseconds(1500));
        m_store->reads->take()(
            RangeResult {5, {{"config", "", 1}, {"servers/a", "a", 2}, {"servers/b", "b", 3}}});
        m_watch = m_store->watches->take();
        awaitReadiness(200);
        change({config("2", 10)});
        awaitReadiness(503);
        openGate();
        awaitReadiness(200);
    }

    // Guards against keys that go on to count as proved although a configuration that may have
    // taken them away cannot be read.
    void unreadableConfigurationProvesNoKeys()
    {
        startGateway(std::chrono::milliseconds(1500));
        m_store->reads->take()(
            RangeResult {5, {{"config", "", 1}, {"servers/a", "a", 2}, {"servers/b", "b", 3}}});
        m_watch = m_store->watches->take();
        awaitReadiness(200);
        openGate();
        change({config("2", 10), config("bad", 11)});
        awaitVersion(2);
        awaitReadiness(503);
        change({config("3", 12)});
        awaitReadiness(200);
    }

protected:
    StoreSchema schema() const override
    {
        StoreSchema out = GatewayFixture::schema();
        out.decodeConfig =
            [decoding = m_decoding, opened = m_opened,
             first = GatewayFixture::config()](std::string_view text) -> Result<RouteConfig> {
            RouteConfig decoded = first;
            if (text.empty())
                return decoded;
            decoding->put(std::string(text));
            opened.wait();
            if (text == "bad")
                return Error {ErrorCode::Malformed, "bad"};
            decoded.version = std::stoi(std::string(text));
            return decoded;
        };
        return out;
    }

private:
    static WatchEvent config(const std::string &text, std::int64_t revision)
    {
        return {false, {"config", text, revision}};
    }

    void change(const std::vector<WatchEvent> &events)
    {
        m_watch->onChanges(events, events.back().pair.modRevision);
        m_watch->onConfirmed(bootClock()());
    }

    bool contains(const std::string &line) { return metrics().find(line) != std::string::npos; }

    void awaitVersion(int version)
    {
        const std::string line = "\ngateway_config_version " + std::to_string(version) + "\n";
        waitUntil([&] { return contains(line); });
    }

    void awaitRevision(int revision)
    {
        const std::string line = "\ngateway_store_revision " + std::to_string(revision) + "\n";
        waitUntil([&] { return contains(line); });
        // Answered on the queue, so after all of the change.
        readiness();
    }

    void awaitReadiness(int status)
    {
        waitUntil([&] {
            m_watch->onConfirmed(bootClock()());
            return readiness() == status;
        });
    }

    void openGate()
    {
        if (const auto gate = std::exchange(m_gate, nullptr))
            gate->set_value();
    }

    std::shared_ptr<std::promise<void>> m_gate;
    std::shared_future<void> m_opened;
    std::shared_ptr<Mailbox<std::string>> m_decoding = std::make_shared<Mailbox<std::string>>();
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStormTest);
