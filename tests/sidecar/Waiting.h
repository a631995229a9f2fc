#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

/// \brief A lock, and waiting for a condition on what it guards.
class Waiting
{
public:
    /// \brief Runs \a change under the lock and wakes all waiters.
    template <typename Change>
    void change(Change change)
    {
        {
            const std::lock_guard lock(m_mutex);
            change();
        }
        m_changed.notify_all();
    }
    /// \brief False when \a condition has not become true within a generous time.
    template <typename Condition>
    bool until(Condition condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(30), condition);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
};
