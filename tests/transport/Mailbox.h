#pragma once

#include <cppunit/TestAssert.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace foxtailring {

constexpr std::chrono::seconds testDeadline {20};

/// \brief Queue that passes events from hooks to the test's thread.
template <typename T>
class Mailbox
{
public:
    void put(T event)
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        m_arrived.notify_one();
    }

    /// \brief Waits for the next event and returns it; fails the test after testDeadline.
    T take()
    {
        std::unique_lock lock(m_mutex);
        const bool came =
            m_arrived.wait_for(lock, testDeadline, [this] { return !m_events.empty(); });
        CPPUNIT_ASSERT_MESSAGE("no event before the deadline", came);
        T event = std::move(m_events.front());
        m_events.pop_front();
        return event;
    }

    void clear()
    {
        const std::lock_guard lock(m_mutex);
        m_events.clear();
    }

    bool isEmpty() const
    {
        const std::lock_guard lock(m_mutex);
        return m_events.empty();
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<T> m_events;
};

/// \brief Polls until \a condition holds; fails the test after testDeadline.
inline void waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + testDeadline;
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE("condition not met before the deadline",
                               std::chrono::steady_clock::now() < end);
        std::this_thread::yield();
    }
}

} // namespace foxtailring
