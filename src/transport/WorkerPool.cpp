#include "foxtailring/transport/WorkerPool.h"

#include "foxtailring/base/StructuredLog.h"
#include "Net.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

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

    net::io_context context;
    net::executor_work_guard<net::io_context::executor_type> guard;
    std::vector<std::jthread> threads;
};

void WorkerPool::State::runWorker()
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception &exception) {
            // One request's failure must not stop the process; the thread takes up the next work.
            StructuredLog::warn("workerException", {{"message", exception.what()}});
        }
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
    m_state->threads.clear();
}

} // namespace foxtailring
