#include "foxtailring/transport/SerialQueue.h"

#include "foxtailring/transport/WorkerPool.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace foxtailring {

struct SerialQueue::State
{
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
};

SerialQueue::SerialQueue(WorkerPool &pool)
    : m_state(new State {boost::asio::make_strand(pool.context())})
{
}

SerialQueue::~SerialQueue() = default;

void SerialQueue::post(std::function<void()> work)
{
    boost::asio::post(m_state->strand, std::move(work));
}

} // namespace foxtailring
