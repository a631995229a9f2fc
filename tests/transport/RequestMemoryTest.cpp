#include "foxtailring/transport/RequestMemory.h"

#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"
#include "RawPeer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <list>
#include <memory>
#include <optional>
#include <string>

using namespace foxtailring;

namespace {

constexpr HttpLimits largeBodyLimits {16 * 1024, 4'000'000, std::chrono::seconds(60)};
constexpr std::size_t limitBytes = 1'000'000;
constexpr int callerCount = 100;
constexpr std::size_t partBytes = 50'000;

/// Bytes of all requests together, with a fixed limit.
struct Account
{
    std::atomic<std::size_t> held = 0;
    std::atomic<std::size_t> peak = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> arrived = 0;
};

class LimitedMemory : public RequestMemory
{
public:
    explicit LimitedMemory(Account &account)
        : m_account(account)
    {
    }
    ~LimitedMemory() override { m_account.held -= m_bytes; }
    LimitedMemory(const LimitedMemory &) = delete;
    LimitedMemory &operator=(const LimitedMemory &) = delete;

    bool tryResize(std::size_t bytes) override
    {
        if (bytes > m_bytes && m_account.held - m_bytes + bytes > limitBytes)
            return false;
        m_account.held += bytes - m_bytes;
        m_bytes = bytes;
        m_account.peak = std::max<std::size_t>(m_account.peak, m_account.held);
        return true;
    }
    void onArrived() override { ++m_account.arrived; }
    HttpResponse refuse() override
    {
        ++m_account.refused;
        return {503, {{"Retry-After", "0.5"}}, ""};
    }

private:
    Account &m_account;
    std::size_t m_bytes = 0;
};

} // namespace

// Tests that requests in progress are counted, and refused beyond the limit.
class RequestMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestMemoryTest);
    CPPUNIT_TEST(bodiesThatAreNotWholeAreBounded);
    CPPUNIT_TEST(chunkedBodiesWithoutEndAreBounded);
    CPPUNIT_TEST(headsThatAreNotWholeAreBounded);
    CPPUNIT_TEST(shortFieldsCountMoreThanTheirText);
    CPPUNIT_TEST(pipelinedRequestsAreBounded);
    CPPUNIT_TEST(refusedRequestIsToldWhenToReturn);
    CPPUNIT_TEST(memoryIsGivenBackWhenTheCallerLeaves);
    CPPUNIT_TEST(memoryIsGivenBackAfterAMalformedBody);
    CPPUNIT_TEST(requestKeepsItsMemory);
    CPPUNIT_TEST(memoryIsHeldUntilTheResponseIsWritten);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool.emplace(1);
        m_server.emplace(
            *m_pool, Endpoint {"127.0.0.1", 0}, largeBodyLimits,
            [this](HttpRequest request, const std::shared_ptr<Http1Responder> &responder) {
                m_responders.put(responder);
                m_requests.put(std::move(request));
            });
        m_server->limitMemory([this] { return std::make_shared<LimitedMemory>(m_account); });
        m_port = m_server->listen().value();
    }

    void tearDown() override
    {
        m_requests.clear();
        m_responders.clear();
        m_pool->stop();
        m_server.reset();
        m_pool.reset();
    }

    // Guards against a process that is killed for its memory: 100 bodies of 4 MB took 453 MB.
    void bodiesThatAreNotWholeAreBounded()
    {
        sendFromAll("POST /a HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n",
                    std::string(partBytes, 'x'));
        assertBounded();
    }

    void chunkedBodiesWithoutEndAreBounded()
    {
        sendFromAll("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "c350\r\n" + std::string(partBytes, 'x') + "\r\n");
        assertBounded();
    }

    void headsThatAreNotWholeAreBounded()
    {
        sendFromAll("GET /a HTTP/1.1\r\nA: ", std::string(12'000, 'x'));
        assertBounded();
    }

    // Guards against heads of many short fields, which took a multiple of what was counted.
    void shortFieldsCountMoreThanTheirText()
    {
        std::string head = "GET /a HTTP/1.1\r\n";
        for (int i = 0; i < 1000; ++i)
            head += "A:\r\n";
        RawPeer peer(m_port);
        peer.write(head);
        waitUntil([this] { return m_account.held > 10 * 4 * 1000; });
    }

    // Guards against input behind a request in progress that is not counted.
    void pipelinedRequestsAreBounded()
    {
        std::list<RawPeer> peers;
        for (int i = 0; i < callerCount; ++i) {
            peers.emplace_back(m_port);
            peers.back().write("GET /a HTTP/1.1\r\n\r\n");
            m_requests.take();
        }
        for (RawPeer &peer : peers)
            peer.write(std::string(40'000, 'x'));
        waitUntil([this] { return m_account.held > limitBytes - 3 * 8192; });
        CPPUNIT_ASSERT(m_account.peak <= limitBytes);
        CPPUNIT_ASSERT_EQUAL(0, m_account.refused.load());
    }

    void refusedRequestIsToldWhenToReturn()
    {
        RawPeer peer(m_port);
        peer.write("POST /a HTTP/1.1\r\nContent-Length: 3000000\r\n\r\n"
                   + std::string(limitBytes, 'x'));
        const std::string answer = peer.readUntil("\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(answer.find("\r\nRetry-After: 0.5\r\n") != std::string::npos);
        CPPUNIT_ASSERT(answer.find("\r\nConnection: close\r\n") != std::string::npos);
        peer.waitForClose();
        waitUntil([this] { return m_account.held == 0; });
        CPPUNIT_ASSERT(m_requests.isEmpty());
    }

    void memoryIsGivenBackWhenTheCallerLeaves()
    {
        RawPeer peer(m_port);
        peer.write("POST /a HTTP/1.1\r\nContent-Length: 3000000\r\n\r\n"
                   + std::string(partBytes, 'x'));
        waitUntil([this] { return m_account.held >= partBytes; });
        peer.close();
        waitUntil([this] { return m_account.held == 0; });
    }

    void memoryIsGivenBackAfterAMalformedBody()
    {
        RawPeer peer(m_port);
        peer.write("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nc350\r\n"
                   + std::string(partBytes, 'x'));
        waitUntil([this] { return m_account.held >= partBytes; });
        peer.write("no chunk\r\n");
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 400 "));
        waitUntil([this] { return m_account.held == 0; });
    }

    // Guards against a whole body that is not counted until its request is processed.
    void requestKeepsItsMemory()
    {
        RawPeer peer(m_port);
        peer.write("POST /a HTTP/1.1\r\nContent-Length: 50000\r\n\r\n"
                   + std::string(partBytes, 'x'));
        {
            const HttpRequest request = m_requests.take();
            CPPUNIT_ASSERT(request.memory);
            CPPUNIT_ASSERT_EQUAL(1, m_account.arrived.load());
            CPPUNIT_ASSERT(m_account.held >= partBytes);
        }
        m_responders.take()->respond({204, {}, {}});
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 204 "));
        waitUntil([this] { return m_account.held == 0; });
    }

    // Guards against large answers that nobody counts, since their callers do not read them.
    void memoryIsHeldUntilTheResponseIsWritten()
    {
        constexpr std::size_t largeBytes = std::size_t(32) * 1024 * 1024;
        RawPeer peer(m_port, 4096);
        peer.write("POST /a HTTP/1.1\r\nContent-Length: 50000\r\n\r\n"
                   + std::string(partBytes, 'x'));
        CPPUNIT_ASSERT(m_requests.take().memory);
        m_responders.take()->respond({200, {}, std::string(largeBytes, 'x') + "end"});
        peer.readUntil("\r\n\r\n");
        CPPUNIT_ASSERT(m_account.held >= partBytes);
        CPPUNIT_ASSERT(peer.readUntil("end").ends_with("end"));
        waitUntil([this] { return m_account.held == 0; });
    }

private:
    // Each caller sends \a start and \a part, and does not end its request.
    void sendFromAll(const std::string &start, const std::string &part)
    {
        for (int i = 0; i < callerCount; ++i) {
            m_peers.emplace_back(m_port);
            m_peers.back().write(start + part);
        }
        waitUntil([this] { return m_account.refused > 0; });
    }

    void assertBounded()
    {
        CPPUNIT_ASSERT(m_account.peak <= limitBytes);
        CPPUNIT_ASSERT(m_requests.isEmpty());
        m_peers.clear();
        waitUntil([this] { return m_account.held == 0; });
    }

    Account m_account;
    Mailbox<HttpRequest> m_requests;
    Mailbox<std::shared_ptr<Http1Responder>> m_responders;
    std::list<RawPeer> m_peers;
    std::optional<WorkerPool> m_pool;
    std::optional<Http1Server> m_server;
    std::uint16_t m_port = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestMemoryTest);
