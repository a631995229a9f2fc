#include "foxtailring/transport/WorkerPool.h"

#include "foxtailring/base/StructuredLog.h"
#include "Net.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <mutex>
#include <thread>
#include <vector>

namespace foxtailring {

struct WorkerPool::State
{
    explicit State(std::size_t threadCount)
        : context(static_cast<int>(threadCount))
        , guard(context.get_executor())
    {
    }

    void runWorker();
    bool isWorkerThread() const;
    void join();

    net::io_context context;
    net::executor_work_guard<net::io_context::executor_type> guard;
    std::mutex joinMutex;
    std::vector<std::jthread> threads;
};

void WorkerPool::State::runWorker()
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception &exception) {
            // An exception in one task must not end the process; the thread continues with the
            // next.
            StructuredLog::warn("workerException", {{"message", exception.what()}});
        }
    }
}

bool WorkerPool::State::isWorkerThread() const
{
    return std::any_of(threads.begin(), threads.end(), [](const std::jthread &thread) {
        return thread.get_id() == std::this_thread::get_id();
    });
}

void WorkerPool::State::join()
{
    const std::lock_guard lock(joinMutex);
    for (std::jthread &thread : threads) {
        if (thread.joinable())
            thread.join();
    }
}

WorkerPool::WorkerPool(std::size_t threads)
    : m_state(std::make_unique<State>(threads))
{
    for (std::size_t i = 0; i < threads; ++i)
        m_state->threads.emplace_back([state = m_state.get()] { state->runWorker(); });
}

WorkerPool::~WorkerPool()
{
    stop();
}

net::io_context &WorkerPool::context()
{
    return m_state->context;
}

void WorkerPool::post(std::function<void()> work)
{
    net::post(m_state->context, std::move(work));
}

void WorkerPool::stop()
{
    m_state->context.stop();
    if (!m_state->isWorkerThread())
        m_state->join();
}

} // namespace foxtailring
