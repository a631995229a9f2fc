#include "foxtailring/transport/ConnectionCut.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/Timer.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"
#include "RawPeer.h"

#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

using namespace foxtailring;

namespace {

using std::chrono::milliseconds;

constexpr HttpLimits limits {1024, 1'000'000, std::chrono::seconds(60)};
/// Long enough that a busy machine does not exceed it between two steps of a test.
constexpr milliseconds shortTime {400};
constexpr milliseconds byteInterval {20};
constexpr std::string_view largeHead = "POST /a HTTP/1.1\r\nContent-Length: 10000\r\n\r\n";
constexpr std::string_view smallHead = "POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\n";

} // namespace

// Tests the time that a request allows its body.
class BodyTimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyTimeTest);
    CPPUNIT_TEST(bodyWithoutEndIsRefused);
    CPPUNIT_TEST(hookIsToldTheHead);
    CPPUNIT_TEST(bodyWithinItsTimeIsRead);
    CPPUNIT_TEST(bodyWithoutTimeIsRead);
    CPPUNIT_TEST(timeEndsWithItsRequest);
    CPPUNIT_TEST(longerTimeReachesBodiesInProgress);
    CPPUNIT_TEST(firstTimeCountsFromWhenItIsNamed);
    CPPUNIT_TEST(bodyThatWaitedDuringAPauseIsRead);
    CPPUNIT_TEST(throwingHookNamesNoTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool.emplace(1);
        m_server.emplace(
            *m_pool, Endpoint {"127.0.0.1", 0}, limits,
            [this](HttpRequest request, const std::shared_ptr<Http1Responder> &responder) {
                m_bodies.put(std::move(request.body));
                responder->respond({204, {}, {}});
            });
        m_server->onConnectionCut([this](const ConnectionCut &cut) { m_cuts.put(cut); });
        m_server->limitBodyTime([this](const HttpRequest &head) {
            m_heads.put(head);
            return allowedTime();
        });
        m_port = m_server->listen().value();
    }

    void tearDown() override
    {
        m_pool->stop();
        m_server.reset();
        m_pool.reset();
    }

    // Each byte extends the idle limit, so it alone never ends such a request.
    void bodyWithoutEndIsRefused()
    {
        RawPeer peer(m_port);
        peer.write(largeHead);
        const auto endsAt = std::chrono::steady_clock::now() + 10 * shortTime;
        while (!peer.hasInput() && std::chrono::steady_clock::now() < endsAt) {
            peer.write("x");
            waitFor(byteInterval);
        }
        CPPUNIT_ASSERT_MESSAGE("no answer", peer.hasInput());
        CPPUNIT_ASSERT(peer.readAll().starts_with("HTTP/1.1 408 "));
        const ConnectionCut cut = m_cuts.take();
        CPPUNIT_ASSERT_EQUAL(std::string_view("bodyTimeout"), connectionCutCauseName(cut.cause));
        CPPUNIT_ASSERT(cut.age >= shortTime);
        CPPUNIT_ASSERT(m_bodies.isEmpty());
    }

    void hookIsToldTheHead()
    {
        RawPeer peer(m_port);
        peer.write("PUT /b?c HTTP/1.1\r\nA: 1\r\nContent-Length: 4\r\n\r\nbo");
        const HttpRequest head = m_heads.take();
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), head.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/b?c"), head.target);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), std::string(head.header("A")));
        CPPUNIT_ASSERT_EQUAL(std::string(), head.body);
    }

    // A pause between parts is bounded by the idle limit alone.
    void bodyWithinItsTimeIsRead()
    {
        m_timeMs = 60'000;
        RawPeer peer(m_port);
        peer.write(smallHead);
        assertSlowBodyIsRead(peer);
    }

    void bodyWithoutTimeIsRead()
    {
        m_timeMs = -1;
        RawPeer peer(m_port);
        peer.write(smallHead);
        assertSlowBodyIsRead(peer);
    }

    // The next request, and a response that is read slowly, must not inherit the time.
    void timeEndsWithItsRequest()
    {
        RawPeer peer(m_port);
        peer.write(smallHead);
        m_heads.take();
        peer.write("body");
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 204 "));
        waitFor(2 * shortTime);
        m_timeMs = 60'000;
        peer.write(smallHead);
        assertSlowBodyIsRead(peer);
    }

    // Callers rely on a longer limit as soon as it is in force.
    void longerTimeReachesBodiesInProgress()
    {
        RawPeer peer(m_port);
        peer.write(smallHead);
        m_heads.take();
        m_timeMs = 60'000;
        m_server->setLimits(limits);
        m_heads.take();
        assertSlowBodyIsRead(peer);
    }

    // Guards against a body that is refused at once when the first configuration comes into force.
    void firstTimeCountsFromWhenItIsNamed()
    {
        m_timeMs = -1;
        RawPeer peer(m_port);
        peer.write(smallHead);
        m_heads.take();
        waitFor(2 * shortTime);
        m_timeMs = static_cast<int>(shortTime.count());
        m_server->setLimits(limits);
        m_heads.take();
        waitFor(byteInterval);
        peer.tryWrite("body", byteInterval);
        const std::string answer = peer.readUntil("\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 204 "));
    }

    // After a pause of the process, bodies had arrived whose time has passed.
    void bodyThatWaitedDuringAPauseIsRead()
    {
        const std::string body(10'000, 'x');
        RawPeer peer(m_port);
        peer.write(largeHead);
        m_heads.take();
        pauseOverItsTime([&] { peer.write(body); });
        CPPUNIT_ASSERT(peer.readUntil("\r\n\r\n").starts_with("HTTP/1.1 204 "));
        CPPUNIT_ASSERT_EQUAL(body, m_bodies.take());
    }

    void throwingHookNamesNoTime()
    {
        m_timeMs = -2;
        RawPeer peer(m_port);
        peer.write(smallHead);
        assertSlowBodyIsRead(peer);
    }

private:
    std::optional<milliseconds> allowedTime() const
    {
        const int time = m_timeMs;
        if (time == -2)
            throw std::runtime_error("unreadable");
        return time < 0 ? std::nullopt : std::optional(milliseconds(time));
    }

    // Blocks the only worker for twice the short time; \a meanwhile runs in its last moment.
    void pauseOverItsTime(const std::function<void()> &meanwhile)
    {
        WorkerPool clock(1);
        Timer timer(clock);
        Mailbox<bool> over;
        Mailbox<bool> mayGoOn;
        boost::asio::post(m_pool->context(), [&mayGoOn] { mayGoOn.take(); });
        timer.once(2 * shortTime, [&over] { over.put(true); });
        over.take();
        meanwhile();
        mayGoOn.put(true);
        clock.stop();
    }

    // Takes twice the short time.
    void assertSlowBodyIsRead(RawPeer &peer)
    {
        waitFor(2 * shortTime);
        peer.write("body");
        const std::string answer = peer.readUntil("\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 204 "));
    }

    void waitFor(milliseconds time)
    {
        Timer timer(*m_pool);
        Mailbox<bool> over;
        timer.once(time, [&over] { over.put(true); });
        over.take();
    }

    std::optional<WorkerPool> m_pool;
    Mailbox<HttpRequest> m_heads;
    Mailbox<std::string> m_bodies;
    Mailbox<ConnectionCut> m_cuts;
    std::atomic<int> m_timeMs {static_cast<int>(shortTime.count())}; ///< -1: none; -2: throws
    std::optional<Http1Server> m_server;
    std::uint16_t m_port = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyTimeTest);
