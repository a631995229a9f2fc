#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace foxtailring {

/// \brief An io_context run by a fixed number of threads.
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t threads);
    /// \brief Stops and joins the threads; unfinished work is dropped.
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    boost::asio::io_context &context();

    /// \brief Runs \a work on one of the threads.
    void post(std::function<void()> work);

    /// \brief Stops and joins the threads; work that is left stays until the destructor.
    ///
    /// Must not be called from one of the threads.
    void stop();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace foxtailring
