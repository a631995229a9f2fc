#include "foxtailring/transport/SerialQueue.h"

#include "foxtailring/transport/WorkerPool.h"

#include <atomic>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace foxtailring {

struct SerialQueue::State
{
    explicit State(WorkerPool &pool)
        : strand(boost::asio::make_strand(pool.context()))
    {
    }

    void run(const std::function<void()> &work, std::chrono::steady_clock::time_point postedAt);

    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    WaitHook waitHook;
    std::atomic<std::chrono::milliseconds> lag {};
    std::atomic<bool> isClosed = false;
};

void SerialQueue::State::run(const std::function<void()> &work,
                             std::chrono::steady_clock::time_point postedAt)
{
    if (isClosed)
        return;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - postedAt);
    lag = wait;
    if (waitHook)
        waitHook(wait);
    work();
}

SerialQueue::SerialQueue(WorkerPool &pool)
    : m_state(std::make_shared<State>(pool))
{
}

SerialQueue::~SerialQueue() = default;

void SerialQueue::post(std::function<void()> work)
{
    boost::asio::post(
        m_state->strand,
        [state = m_state, work = std::move(work), postedAt = std::chrono::steady_clock::now()] {
            state->run(work, postedAt);
        });
}

void SerialQueue::onTaskWaited(WaitHook hook)
{
    m_state->waitHook = std::move(hook);
}

void SerialQueue::close()
{
    m_state->isClosed = true;
}

std::chrono::milliseconds SerialQueue::lag() const
{
    return m_state->lag;
}

} // namespace foxtailring
