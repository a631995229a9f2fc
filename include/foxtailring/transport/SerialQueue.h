#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace foxtailring {

class WorkerPool;

/// \brief Runs functions on the pool, one at a time and in order. Thread-safe.
class SerialQueue
{
public:
    using WaitHook = std::function<void(std::chrono::milliseconds wait)>;

    explicit SerialQueue(WorkerPool &pool);
    ~SerialQueue();
    SerialQueue(const SerialQueue &) = delete;
    SerialQueue &operator=(const SerialQueue &) = delete;

    /// \brief Calls \a hook on the queue, before each task, with the time for which the task
    /// waited; to be set before the first post().
    void onTaskWaited(WaitHook hook);
    /// \brief How long the task that was begun last had waited.
    std::chrono::milliseconds lag() const;
    /// \brief Drops tasks that have not begun, and those that are posted later.
    void close();
    /// \brief Queues \a work; never runs it inside the call.
    void post(std::function<void()> work);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
