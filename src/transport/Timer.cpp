#include "foxtailring/transport/Timer.h"

#include "foxtailring/transport/WorkerPool.h"
#include "HookGuard.h"
#include "Net.h"

#include <boost/asio/steady_timer.hpp>

#include <mutex>
#include <optional>

namespace foxtailring {

using std::chrono::milliseconds;

// The strand prevents overlapping hooks; the mutex makes cancel() take effect immediately.
struct Timer::State : std::enable_shared_from_this<Timer::State>
{
    explicit State(net::io_context &context)
        : timer(net::make_strand(context))
    {
    }

    void set(milliseconds delay, std::optional<milliseconds> repeat, std::function<void()> hook);
    void wait(milliseconds delay, std::uint64_t expectedGeneration);
    void fire(std::uint64_t expectedGeneration);

    std::mutex mutex;
    net::basic_waitable_timer<std::chrono::steady_clock,
                              net::wait_traits<std::chrono::steady_clock>, Strand>
        timer;
    std::uint64_t generation = 0; ///< incremented by every set() and cancel
    std::optional<milliseconds> interval;
    std::function<void()> currentHook;
};

void Timer::State::set(milliseconds delay, std::optional<milliseconds> repeat,
                       std::function<void()> hook)
{
    // The old hook is destroyed after unlocking, since its destructor may destroy a Timer.
    {
        const std::lock_guard lock(mutex);
        ++generation;
        interval = repeat;
        currentHook.swap(hook);
        timer.cancel();
        if (currentHook)
            wait(delay, generation);
    }
}

void Timer::State::wait(milliseconds delay, std::uint64_t expectedGeneration)
{
    timer.expires_after(delay);
    timer.async_wait([self = shared_from_this(), expectedGeneration](ErrorStatus status) {
        if (!status)
            self->fire(expectedGeneration);
    });
}

void Timer::State::fire(std::uint64_t expectedGeneration)
{
    std::function<void()> hook;
    {
        const std::lock_guard lock(mutex);
        if (generation != expectedGeneration)
            return;
        if (interval)
            hook = currentHook;
        else
            hook.swap(currentHook);
    }
    runHook(hook);
    const std::lock_guard lock(mutex);
    if (generation == expectedGeneration && interval)
        wait(*interval, expectedGeneration);
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
