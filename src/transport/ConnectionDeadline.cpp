#include "ConnectionDeadline.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

// Time to read input that was in the system's buffer when a deadline passed. A process that was
// paused finds the deadlines of all its connections passed and reads 128 of them first.
constexpr std::chrono::milliseconds lateReadTime {50};

} // namespace

ConnectionDeadline::ConnectionDeadline(Socket &socket, const HttpLimits &limits, Hooks hooks)
    : m_socket(socket)
    , m_limits(limits)
    , m_hooks(std::move(hooks))
    , m_timer(socket.get_executor())
{
}

void ConnectionDeadline::arm(Limit limit)
{
    m_limit = limit;
    m_startedAt = std::chrono::steady_clock::now();
    m_unacknowledged = unacknowledgedBytes(m_socket);
    update();
}

void ConnectionDeadline::arm(std::chrono::milliseconds delay)
{
    m_limit = nullptr;
    startTimer(delay);
}

void ConnectionDeadline::cancel()
{
    m_limit = nullptr;
    m_timer.cancel();
}

std::chrono::steady_clock::duration ConnectionDeadline::age() const
{
    return std::chrono::steady_clock::now() - m_startedAt;
}

void ConnectionDeadline::update()
{
    if (!m_limit)
        return;
    const auto left = endsAt() - std::chrono::steady_clock::now();
    const auto remaining = std::max(left, decltype(left)::zero());
    m_isOverdue = false;
    startTimer(std::chrono::ceil<std::chrono::milliseconds>(remaining));
}

bool ConnectionDeadline::extendForInput()
{
    if (std::exchange(m_isOverdue, true))
        return false;
    startTimer(lateReadTime);
    return true;
}

// Callers rely on a longer limit as soon as it is in force, but the handler of the timer may have
// been queued before the limit was changed.
bool ConnectionDeadline::extendForLimits()
{
    if (!m_limit || endsAt() <= std::chrono::steady_clock::now())
        return false;
    update();
    return true;
}

// The socket takes megabytes at once, and more only when a third of its buffer is free: a caller
// that reads steadily may show no progress there for seconds, and turns idle when it has the last
// byte. Acknowledgements alone prove nothing, since a caller that reads nothing acknowledges window
// probes.
bool ConnectionDeadline::extendForReader()
{
    if (m_limit != &HttpLimits::idleTimeout || m_unacknowledged == 0)
        return false;
    const std::size_t unacknowledged = unacknowledgedBytes(m_socket);
    const auto quietTime = timeSinceAcknowledgement(m_socket);
    if (unacknowledged >= m_unacknowledged || quietTime >= m_limits.idleTimeout)
        return false;
    m_unacknowledged = unacknowledged;
    m_startedAt = std::chrono::steady_clock::now() - quietTime;
    update();
    return true;
}

ConnectionDeadline::TimePoint ConnectionDeadline::endsAt() const
{
    const auto end = m_startedAt + m_limits.*m_limit;
    const auto latest = m_hooks.latestEnd();
    return latest ? std::min(end, *latest) : end;
}

void ConnectionDeadline::startTimer(std::chrono::milliseconds delay)
{
    m_timer.start(delay, m_hooks.timeoutHook());
}

} // namespace foxtailring
