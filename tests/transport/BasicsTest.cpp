#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/SerialQueue.h"
#include "foxtailring/transport/Timer.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

using namespace foxtailring;
using std::chrono::milliseconds;

class BasicsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BasicsTest);
    CPPUNIT_TEST(endpointRoundTrips);
    CPPUNIT_TEST(badEndpointIsRejected);
    CPPUNIT_TEST(endpointWithAZeroByteIsRejected);
    CPPUNIT_TEST(endpointsThatNameNoHostAreNotConnectable);
    CPPUNIT_TEST(poolSurvivesAnException);
    CPPUNIT_TEST(queueTellsHowLongTasksWait);
    CPPUNIT_TEST(closedQueueDropsItsTasks);
    CPPUNIT_TEST(timerRunsOnce);
    CPPUNIT_TEST(timerRepeatsUntilItsHookCancels);
    CPPUNIT_TEST(settingATimerReplacesItsHook);
    CPPUNIT_TEST_SUITE_END();

public:
    void endpointRoundTrips()
    {
        for (const char *text : {"127.0.0.1:80", "[::1]:65535", "10.1.2.3:0"})
            CPPUNIT_ASSERT_EQUAL(std::string(text), Endpoint::parse(text).value().toString());
        CPPUNIT_ASSERT_EQUAL(std::string("::1"), Endpoint::parse("[::1]:1").value().ip);
    }

    // A bad endpoint in the settings must be reported before the first connection uses it.
    void badEndpointIsRejected()
    {
        for (const char *text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "host:80",
                                 "127.0.0.1:8x", "::1:80", "[127.0.0.1]:80", "127.0.0.1:-1"}) {
            const auto parsed = Endpoint::parse(text);
            CPPUNIT_ASSERT_MESSAGE(text, !parsed.isOk());
            CPPUNIT_ASSERT(parsed.error().code == ErrorCode::InvalidArgument);
        }
    }

    // Guards against taking the text before the zero byte for the address.
    void endpointWithAZeroByteIsRejected()
    {
        using namespace std::string_view_literals;
        for (const std::string_view text :
             {"127.0.0.1\0x:80"sv, "127.0.0.1\0:80"sv, "[::1\0]:80"sv, "127.0.0.1:80\0"sv})
            CPPUNIT_ASSERT(!Endpoint::parse(text).isOk());
    }

    // Guards against a connection to this machine instead of a server.
    void endpointsThatNameNoHostAreNotConnectable()
    {
        for (const char *text : {"127.0.0.1:0", "0.0.0.0:80", "[::]:80", "[::ffff:0.0.0.0]:80",
                                 "224.0.0.1:80", "[ff02::1]:80", "255.255.255.255:80"})
            CPPUNIT_ASSERT_MESSAGE(text, !Endpoint::parse(text).value().isConnectable());
        for (const char *text : {"127.0.0.1:1", "10.0.0.9:65535", "[::1]:80", "[fd00::9]:80"})
            CPPUNIT_ASSERT_MESSAGE(text, Endpoint::parse(text).value().isConnectable());
    }

    // A hook that throws must not end the process or one of its worker threads.
    void poolSurvivesAnException()
    {
        Mailbox<int> events;
        WorkerPool pool(1);
        pool.post([] { throw std::runtime_error("thrown by a test"); });
        pool.post([&events] { events.put(1); });
        CPPUNIT_ASSERT_EQUAL(1, events.take());
    }

    // Guards against a queue that lags behind without a trace.
    void queueTellsHowLongTasksWait()
    {
        constexpr milliseconds blockedTime {50};
        Mailbox<milliseconds> waits;
        WorkerPool pool(1);
        SerialQueue queue(pool);
        queue.onTaskWaited([&waits](milliseconds wait) { waits.put(wait); });
        Mailbox<bool> begun;
        Mailbox<bool> mayGoOn;
        queue.post([&] {
            begun.put(true);
            mayGoOn.take();
        });
        begun.take();
        queue.post([] {});
        const auto goesOnAt = std::chrono::steady_clock::now() + blockedTime;
        waitUntil([goesOnAt] { return std::chrono::steady_clock::now() >= goesOnAt; });
        mayGoOn.put(true);
        waits.take();
        CPPUNIT_ASSERT(waits.take() >= blockedTime);
        CPPUNIT_ASSERT(queue.lag() >= blockedTime);
        pool.stop();
    }

    // Guards against a process that works off a long queue after its end has come.
    void closedQueueDropsItsTasks()
    {
        Mailbox<int> events;
        WorkerPool pool(1);
        SerialQueue queue(pool);
        queue.post([&] {
            queue.close();
            events.put(1);
        });
        queue.post([&events] { events.put(2); });
        CPPUNIT_ASSERT_EQUAL(1, events.take());
        pool.post([&events] { events.put(3); });
        CPPUNIT_ASSERT_EQUAL(3, events.take());
        pool.stop();
    }

    void timerRunsOnce()
    {
        Mailbox<int> events;
        WorkerPool pool(2);
        Timer timer(pool);
        timer.once(milliseconds(1), [&events] { events.put(1); });
        CPPUNIT_ASSERT_EQUAL(1, events.take());
    }

    // A repeating timer must not run its hook concurrently with itself or after cancel().
    void timerRepeatsUntilItsHookCancels()
    {
        Mailbox<int> events;
        std::atomic<int> running = 0;
        int count = 0;
        WorkerPool pool(4);
        Timer timer(pool);
        timer.every(milliseconds(1), [&] {
            CPPUNIT_ASSERT_EQUAL(0, running++);
            if (++count == 5)
                timer.cancel();
            events.put(count);
            --running;
        });
        for (int i = 1; i <= 5; ++i)
            CPPUNIT_ASSERT_EQUAL(i, events.take());
        timer.once(milliseconds(1), [&] { events.put(0); });
        CPPUNIT_ASSERT_EQUAL(0, events.take());
    }

    void settingATimerReplacesItsHook()
    {
        Mailbox<int> events;
        WorkerPool pool(2);
        Timer timer(pool);
        timer.once(milliseconds(0), [&events] { events.put(1); });
        timer.cancel();
        timer.once(std::chrono::hours(1), [&events] { events.put(2); });
        timer.once(milliseconds(1), [&events] { events.put(3); });
        while (events.take() != 3) { }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BasicsTest);
