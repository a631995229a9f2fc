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
/// Outlives every client, server and timer made with it, and every stream and responder.
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t threads);
    /// \brief Calls stop() and drops unfinished work.
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    boost::asio::io_context &context();

    /// \brief Runs \a work on one of the threads.
    void post(std::function<void()> work);

    /// \brief Stops and joins the threads; no hook runs afterwards, and work that is left stays
    /// until the destructor.
    ///
    /// On one of its own threads it only asks all of them to stop.
    void stop();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace foxtailring
