#include "CopyOrderSender.h"
#include "GatewayPartsFixture.h"

#include <stdexcept>

using namespace foxtailring;

// Orders to server `a` by which it copies a run to `b`.
class CopyOrderSenderTest : public GatewayPartsFixture
{
    CPPUNIT_TEST_SUITE(CopyOrderSenderTest);
    CPPUNIT_TEST(answerNamesTheCopy);
    CPPUNIT_TEST(failedOrderIsReported);
    CPPUNIT_TEST(unansweredOrderIsReportedOnceAndItsCopyLater);
    CPPUNIT_TEST(snapshotMadeAfterTheEndIsReleased);
    CPPUNIT_TEST(snapshotMadeAfterItsOwnerIsGoneIsReleased);
    CPPUNIT_TEST(exceptionIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        GatewayPartsFixture::setUp();
        m_owner = std::make_shared<CopyOrderSender>(*m_parts, "1", hooks());
        m_parts->queue.post([this] { m_parts->servers.put(server(0), m_parts->clock()); });
    }

    void releaseUsers() override { m_owner.reset(); }

    void answerNamesTheCopy()
    {
        send(testDeadline);
        const ReceivedRequest order = m_received->take();
        CPPUNIT_ASSERT_EQUAL(std::string("/copy"), order.request.target);
        CPPUNIT_ASSERT_EQUAL(server(1).address, std::string(order.request.header("copy-to")));
        order.responder->respond({200, {}, "handle"});
        CPPUNIT_ASSERT_EQUAL(std::string("copied handle"), m_outcomes->take());
    }

    void failedOrderIsReported()
    {
        send(testDeadline);
        m_received->take().responder->respond({500, {}, "none"});
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), m_outcomes->take());
        send(testDeadline);
        m_received->take().responder->abort();
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), m_outcomes->take());
    }

    // Guards against a late answer that is taken for that of the order after it.
    void unansweredOrderIsReportedOnceAndItsCopyLater()
    {
        send(std::chrono::milliseconds(20));
        const ReceivedRequest slow = m_received->take();
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), m_outcomes->take());
        send(testDeadline);
        const ReceivedRequest next = m_received->take();
        slow.responder->respond({200, {}, "slow"});
        CPPUNIT_ASSERT_EQUAL(std::string("late slow"), m_outcomes->take());
        next.responder->respond({200, {}, "next"});
        CPPUNIT_ASSERT_EQUAL(std::string("copied next"), m_outcomes->take());
    }

    // Guards against an engine that keeps memory for the copy of a run that has ended.
    void snapshotMadeAfterTheEndIsReleased()
    {
        send(testDeadline);
        const ReceivedRequest order = m_received->take();
        m_parts->queue.post([this, order] {
            m_owner->end();
            order.responder->respond({200, {}, "handle"});
        });
        assertReleased();
    }

    // Guards against a use of the sender after its request is gone.
    void snapshotMadeAfterItsOwnerIsGoneIsReleased()
    {
        send(testDeadline);
        const ReceivedRequest order = m_received->take();
        m_parts->queue.post([this, order] {
            m_owner.reset();
            order.responder->respond({200, {}, "handle"});
        });
        assertReleased();
    }

    // Guards against a request that waits for an order whose answer was dropped.
    void exceptionIsReported()
    {
        m_throws = true;
        send(testDeadline);
        m_received->take().responder->respond({200, {}, "handle"});
        CPPUNIT_ASSERT_EQUAL(std::string("exception thrown"), m_outcomes->take());
    }

private:
    CopyOrderSender::Hooks hooks()
    {
        return {[this](const CopyRun &, std::optional<std::string> handle) {
                    if (m_throws)
                        throw std::runtime_error("thrown");
                    m_outcomes->put(handle ? "copied " + *handle : "failed");
                },
                [box = m_outcomes](const CopyRun &, const std::string &handle) {
                    box->put("late " + handle);
                },
                [box = m_outcomes](std::string_view message) {
                    box->put("exception " + std::string(message));
                }};
    }

    BackendInfo server(int index) const
    {
        BackendInfo server;
        server.id = index == 0 ? "a" : "b";
        server.service = "engine";
        server.address = "127.0.0.1:" + std::to_string(m_serverPorts[index]);
        return server;
    }

    void send(std::chrono::milliseconds timeout)
    {
        CopyRun command;
        command.from.info = server(0);
        command.to.info = server(1);
        command.timeout = timeout;
        m_parts->queue.post([this, command] { m_owner->send(command, m_owner); });
    }

    void assertReleased()
    {
        const ReceivedRequest release = m_received->take();
        CPPUNIT_ASSERT_EQUAL(std::string("DELETE"), release.request.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/copy/handle"), release.request.target);
        release.responder->respond({204, {}, ""});
        CPPUNIT_ASSERT(m_outcomes->isEmpty());
    }

    std::shared_ptr<CopyOrderSender> m_owner;
    bool m_throws = false;
    std::shared_ptr<Mailbox<std::string>> m_outcomes = std::make_shared<Mailbox<std::string>>();
};

CPPUNIT_TEST_SUITE_REGISTRATION(CopyOrderSenderTest);
