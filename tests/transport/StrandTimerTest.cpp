#include "StrandTimer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

using namespace foxtailring;
using namespace std::chrono_literals;

// Both timers have expired before their handlers run, so that the first hook meets a second one
// that is queued already.
class StrandTimerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StrandTimerTest);
    CPPUNIT_TEST(hookRunsOnce);
    CPPUNIT_TEST(cancelledHookThatIsQueuedDoesNotRun);
    CPPUNIT_TEST(replacedHookThatIsQueuedDoesNotRun);
    CPPUNIT_TEST(queuedHookOfADestroyedTimerDoesNotRun);
    CPPUNIT_TEST_SUITE_END();

    net::io_context m_context;
    const Strand m_strand {m_context.get_executor()};
    std::optional<StrandTimer> m_first {m_strand};
    std::optional<StrandTimer> m_second {m_strand};
    std::string m_events;

    /// Runs \a hook while the handler of the second timer is queued.
    void runBeforeQueuedHook(std::function<void()> hook)
    {
        m_first->start(0ms, std::move(hook));
        m_second->start(1ms, [this] { m_events += "second "; });
        const auto queued = std::chrono::steady_clock::now() + 5ms;
        while (std::chrono::steady_clock::now() < queued) { }
        m_context.run();
    }

public:
    void hookRunsOnce()
    {
        runBeforeQueuedHook([this] { m_events += "first "; });
        CPPUNIT_ASSERT_EQUAL(std::string("first second "), m_events);
    }

    // Guards against a connection that its expired idle limit closes while it handles a request.
    void cancelledHookThatIsQueuedDoesNotRun()
    {
        runBeforeQueuedHook([this] { m_second->cancel(); });
        CPPUNIT_ASSERT_EQUAL(std::string(), m_events);
    }

    // Guards against a limit that strikes although it was moved.
    void replacedHookThatIsQueuedDoesNotRun()
    {
        runBeforeQueuedHook([this] { m_second->start(1ms, [this] { m_events += "new "; }); });
        CPPUNIT_ASSERT_EQUAL(std::string("new "), m_events);
    }

    void queuedHookOfADestroyedTimerDoesNotRun()
    {
        runBeforeQueuedHook([this] { m_second.reset(); });
        CPPUNIT_ASSERT_EQUAL(std::string(), m_events);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StrandTimerTest);
