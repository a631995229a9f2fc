#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace foxtailring {

class WorkerPool;

/// \brief Runs a hook after a delay, once or repeatedly. Thread-safe.
///
/// A hook that is running when cancel() is called runs to completion. The destructor cancels.
class Timer
{
public:
    explicit Timer(WorkerPool &pool);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// \brief Runs \a hook after \a delay; replaces an earlier setting.
    void once(std::chrono::milliseconds delay, std::function<void()> hook);
    /// \brief Runs \a hook after each \a interval, never concurrently with itself; replaces an
    /// earlier setting.
    void every(std::chrono::milliseconds interval, std::function<void()> hook);
    void cancel();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
