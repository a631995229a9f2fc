#include "foxtailring/store/WatchEvent.h"
#include "foxtailring/transport/Http1Stream.h"
#include "foxtailring/transport/StreamHooks.h"
#include "GatewayFixture.h"

#include <atomic>
#include <set>
#include <vector>

using namespace foxtailring;

// Orders by which server `a` is to copy a stream's run to `b`, which is listed after its start.
class CopyOrderTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(CopyOrderTest);
    CPPUNIT_TEST(copyIsReleasedOnceAtTheEnd);
    CPPUNIT_TEST(failedOrderIsRepeated);
    CPPUNIT_TEST(unansweredOrderIsRepeated);
    CPPUNIT_TEST(copyMadeAfterTheEndIsReleased);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        GatewayFixture::setUp();
        const auto read = m_store->reads->take();
        read(RangeResult {5, {{"config", "copiesOnDemand", 1}, {"servers/a", "a", 2}}});
        m_watch = m_store->watches->take();
        waitUntil([this] { return readiness() == 200; });
    }

    void tearDown() override
    {
        m_run.reset();
        GatewayFixture::tearDown();
    }

    // Guards against a copy that keeps an engine's memory, or whose release is sent twice.
    void copyIsReleasedOnceAtTheEnd()
    {
        startRun();
        takeOrder().responder->respond({200, {}, "handle"});
        waitForCopies("made", 1);
        finishRun();
        assertReleased("handle");
        waitForCopies("released", 1);
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

    // Guards against a stream that ends, or stays without a copy, because an order failed.
    void failedOrderIsRepeated()
    {
        startRun();
        takeOrder().responder->respond({500, {}, "none"});
        takeOrder().responder->abort();
        takeOrder().responder->respond({200, {}, "handle"});
        waitForCopies("made", 1);
        waitForCopies("failed", 2);
        finishRun();
        assertReleased("handle");
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

    // Guards against a late answer that replaces the copy made by the order after it.
    void unansweredOrderIsRepeated()
    {
        startRun();
        const ReceivedRequest slow = takeOrder();
        const ReceivedRequest next = takeOrder();
        waitForCopies("failed", 1);
        slow.responder->respond({200, {}, "late"});
        next.responder->respond({200, {}, "handle"});
        waitForCopies("made", 1);
        waitForCopies("late", 1);
        finishRun();
        CPPUNIT_ASSERT((std::set {takeRelease(), takeRelease()}
                        == std::set<std::string> {"/copy/handle", "/copy/late"}));
        waitForCopies("released", 2);
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

    // Guards against an engine that keeps memory for the copy of a run that has ended.
    void copyMadeAfterTheEndIsReleased()
    {
        startRun();
        const ReceivedRequest order = takeOrder();
        finishRun();
        order.responder->respond({200, {}, "handle"});
        assertReleased("handle");
        waitForCopies("released", 1);
        CPPUNIT_ASSERT(m_received->isEmpty());
    }

private:
    void startRun()
    {
        callAsStream();
        m_run = m_received->take();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_run->server);
        m_run->responder->startStream(
            200, {{"id", "1"}, {"signed", "1"}, {"Content-Type", "text/event-stream"}});
        goOn();
        const std::vector<WatchEvent> listed {{false, {"servers/b", "b", 6}}};
        m_watch->onChanges(listed, 6);
    }

    // Counts the bytes of the answer as they reach the caller.
    void callAsStream()
    {
        StreamHooks hooks;
        const auto body = std::make_shared<std::string>();
        hooks.onHead = [](const HttpResponse &) {};
        hooks.onBody = [body, received = m_receivedBytes](std::string_view bytes) {
            *body += bytes;
            *received += bytes.size();
        };
        hooks.onClosed = [body, box = m_answers](const Result<Done> &result) {
            box->put(result ? Result<HttpResponse>(HttpResponse {200, {}, *body})
                            : Result<HttpResponse>(result.error()));
        };
        m_call = m_client->stream({"127.0.0.1", m_ports.callers},
                                  {"POST", "/stream/x", {{"id", "1"}, {"key", "good"}}, "body"},
                                  std::move(hooks));
    }

    // The next event, which the caller gets before the one after it is made.
    void goOn()
    {
        m_events += eventText(++m_eventCount);
        m_run->responder->write(eventText(m_eventCount));
        waitUntil([this] { return *m_receivedBytes >= m_events.size(); });
    }

    ReceivedRequest takeOrder()
    {
        waitUntil([this] {
            goOn();
            return !m_received->isEmpty();
        });
        ReceivedRequest order = m_received->take();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(order.request.target, std::string("a"), order.server);
        CPPUNIT_ASSERT_EQUAL(std::string("/copy"), order.request.target);
        CPPUNIT_ASSERT_EQUAL("127.0.0.1:" + std::to_string(m_serverPorts[1]),
                             std::string(order.request.header("copy-to")));
        return order;
    }

    void finishRun()
    {
        m_run->responder->finish();
        m_isFinished = true;
        CPPUNIT_ASSERT_EQUAL(m_events, m_answers->take().value().body);
    }

    void assertReleased(const std::string &handle)
    {
        CPPUNIT_ASSERT_EQUAL("/copy/" + handle, takeRelease());
    }

    std::string takeRelease()
    {
        const ReceivedRequest release = m_received->take();
        CPPUNIT_ASSERT_EQUAL(std::string("DELETE"), release.request.method);
        release.responder->respond({204, {}, ""});
        return release.request.target;
    }

    void waitForCopies(const std::string &outcome, int count)
    {
        const std::string line =
            "gateway_copies_total{outcome=\"" + outcome + "\"} " + std::to_string(count) + "\n";
        waitUntil([&] {
            if (!m_isFinished)
                goOn();
            return metrics().find(line) != std::string::npos;
        });
    }

    const std::shared_ptr<std::atomic<std::size_t>> m_receivedBytes =
        std::make_shared<std::atomic<std::size_t>>(0);
    std::shared_ptr<Http1Stream> m_call;
    std::optional<ReceivedRequest> m_run;
    int m_eventCount = 0;
    std::string m_events;
    bool m_isFinished = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CopyOrderTest);
