#pragma once

#include <condition_variable>
#include <mutex>

namespace foxtailring::fakes {

/// \brief Fault that holds every caller of pass() while it is set. Thread-safe.
class HangGate
{
public:
    void set(bool hung)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_hung = hung;
        }
        m_changed.notify_all();
    }

    /// \brief Returns once the fault is off.
    void pass()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return !m_hung; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_hung = false;
};

} // namespace foxtailring::fakes
