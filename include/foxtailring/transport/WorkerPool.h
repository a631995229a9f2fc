#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace foxtailring {

/// \brief An io_context run by a fixed number of threads.
///
/// Must outlive every client, server, timer, stream and responder that uses it.
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t threads);
    /// \brief Calls stop() and discards unfinished work.
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    boost::asio::io_context &context();

    /// \brief Runs \a work on one of the threads.
    void post(std::function<void()> work);

    /// \brief Stops and joins the threads; no hook runs afterwards. Queued work is kept until the
    /// destructor.
    ///
    /// When called on one of the pool's own threads, asks all threads to stop without joining them.
    void stop();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace foxtailring
