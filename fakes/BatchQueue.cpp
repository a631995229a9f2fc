#include "BatchQueue.h"

namespace foxtailring::fakes {

BatchQueue::BatchQueue(std::size_t slots)
    : m_slots(slots)
{
}

BatchQueue::Ticket BatchQueue::enter(int priority)
{
    const Ticket ticket = ++m_last;
    m_waiting.emplace(priority, ticket);
    admit();
    return ticket;
}

bool BatchQueue::isRunning(Ticket ticket) const
{
    return m_running.contains(ticket);
}

void BatchQueue::leave(Ticket ticket)
{
    m_running.erase(ticket);
    std::erase_if(m_waiting, [ticket](const auto &entry) { return entry.second == ticket; });
    admit();
}

std::size_t BatchQueue::running() const
{
    return m_running.size();
}

std::size_t BatchQueue::waiting() const
{
    return m_waiting.size();
}

std::size_t BatchQueue::slots() const
{
    return m_slots;
}

void BatchQueue::admit()
{
    while (m_running.size() < m_slots && !m_waiting.empty()) {
        m_running.insert(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
    }
}

} // namespace foxtailring::fakes
