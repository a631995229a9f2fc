#include "foxtailring/transport/Timer.h"

#include "foxtailring/transport/WorkerPool.h"
#include "HookGuard.h"
#include "Net.h"

#include <boost/asio/steady_timer.hpp>

#include <mutex>
#include <optional>

namespace foxtailring {

using std::chrono::milliseconds;

// The strand keeps hooks from overlapping; the mutex makes cancel() take effect at once.
struct Timer::State : std::enable_shared_from_this<Timer::State>
{
    explicit State(net::io_context &context)
        : timer(net::make_strand(context))
    {
    }

    void set(milliseconds delay, std::optional<milliseconds> repeat, std::function<void()> hook);
    void wait(milliseconds delay, std::uint64_t expected);
    void fire(std::uint64_t expected);

    std::mutex mutex;
    net::basic_waitable_timer<std::chrono::steady_clock,
                              net::wait_traits<std::chrono::steady_clock>, Strand>
        timer;
    std::uint64_t generation = 0; ///< changes with every set and cancel
    std::optional<milliseconds> interval;
    std::function<void()> current;
};

void Timer::State::set(milliseconds delay, std::optional<milliseconds> repeat,
                       std::function<void()> hook)
{
    // The old hook is destroyed outside the lock, since that may destroy a Timer.
    {
        const std::lock_guard lock(mutex);
        ++generation;
        interval = repeat;
        current.swap(hook);
        timer.cancel();
        if (current)
            wait(delay, generation);
    }
}

void Timer::State::wait(milliseconds delay, std::uint64_t expected)
{
    timer.expires_after(delay);
    timer.async_wait([self = shared_from_this(), expected](ErrorStatus status) {
        if (!status)
            self->fire(expected);
    });
}

void Timer::State::fire(std::uint64_t expected)
{
    std::function<void()> hook;
    {
        const std::lock_guard lock(mutex);
        if (generation != expected)
            return;
        if (interval)
            hook = current;
        else
            hook.swap(current);
    }
    runHook(hook);
    const std::lock_guard lock(mutex);
    if (generation == expected && interval)
        wait(*interval, expected);
}

Timer::Timer(WorkerPool &pool)
    : m_state(std::make_shared<State>(pool.context()))
{
}

Timer::~Timer()
{
    cancel();
}

void Timer::once(milliseconds delay, std::function<void()> hook)
{
    m_state->set(delay, std::nullopt, std::move(hook));
}

void Timer::every(milliseconds interval, std::function<void()> hook)
{
    m_state->set(interval, interval, std::move(hook));
}

void Timer::cancel()
{
    m_state->set(milliseconds(0), std::nullopt, nullptr);
}

} // namespace foxtailring
