#pragma once

#include <functional>
#include <memory>

namespace foxtailring {

class WorkerPool;

/// \brief Runs functions on the pool, one at a time and in order. Thread-safe.
class SerialQueue
{
public:
    explicit SerialQueue(WorkerPool &pool);
    ~SerialQueue();
    SerialQueue(const SerialQueue &) = delete;
    SerialQueue &operator=(const SerialQueue &) = delete;

    /// \brief Queues \a work; never runs it inside the call.
    void post(std::function<void()> work);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace foxtailring
