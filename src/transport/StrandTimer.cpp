#include "StrandTimer.h"

namespace foxtailring {

StrandTimer::StrandTimer(const Strand &strand)
    : m_timer(strand)
{
}

StrandTimer::~StrandTimer()
{
    cancel();
}

// Asio reports no error to a handler that was queued before its timer was cancelled or moved.
void StrandTimer::start(std::chrono::milliseconds delay, std::function<void()> hook)
{
    const std::uint64_t expected = ++*m_generation;
    m_timer.expires_after(delay);
    m_timer.async_wait(
        [generation = m_generation, expected, hook = std::move(hook)](ErrorStatus status) {
            if (!status && *generation == expected)
                hook();
        });
}

void StrandTimer::cancel()
{
    ++*m_generation;
    m_timer.cancel();
}

} // namespace foxtailring
