#include "Slots.h"

namespace foxtailring::fakes {

namespace {

// How soon a queued request notices that its connection was closed.
constexpr std::chrono::milliseconds pollInterval {10};

} // namespace

Slots::Slots(std::size_t slots, Duration loadLag)
    : m_queue(slots)
    , m_load({}, loadLag)
{
}

BatchQueue::Ticket Slots::enter(int priority)
{
    const std::lock_guard lock(m_mutex);
    const BatchQueue::Ticket ticket = m_queue.enter(priority);
    publish();
    return ticket;
}

bool Slots::await(BatchQueue::Ticket ticket, const std::function<bool()> &givenUp)
{
    std::unique_lock lock(m_mutex);
    while (!m_queue.isRunning(ticket)) {
        m_changed.wait_for(lock, pollInterval);
        if (givenUp())
            return false;
    }
    return true;
}

void Slots::leave(BatchQueue::Ticket ticket)
{
    {
        const std::lock_guard lock(m_mutex);
        m_queue.leave(ticket);
        publish();
    }
    m_changed.notify_all();
}

std::size_t Slots::running()
{
    const std::lock_guard lock(m_mutex);
    return m_queue.running();
}

nlohmann::json Slots::load()
{
    const std::lock_guard lock(m_mutex);
    const Load load = m_load.at(std::chrono::steady_clock::now());
    return {{"running", load.running}, {"waiting", load.waiting}, {"capacity", m_queue.slots()}};
}

void Slots::publish()
{
    m_load.set(std::chrono::steady_clock::now(), {m_queue.running(), m_queue.waiting()});
}

} // namespace foxtailring::fakes
