#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace foxtailring {

class WorkerPool;

/// \brief Runs a hook once after a delay or repeatedly. Thread-safe.
///
/// A hook that is already running when cancel() is called runs to its end. The destructor cancels.
class Timer
{
public:
    explicit Timer(WorkerPool &pool);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// \brief Replaces whatever was set before.
    void once(std::chrono::milliseconds delay, std::function<void()> hook);
    /// \brief Runs \a hook every \a interval, never concurrently with itself.
    void every(std::chrono::milliseconds interval, std::function<void()> hook);
    void cancel();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
