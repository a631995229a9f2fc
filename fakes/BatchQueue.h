#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

namespace foxtailring::fakes {

/// \brief A fixed number of slots and a queue by priority, then by arrival. Not thread-safe.
class BatchQueue
{
public:
    using Ticket = std::uint64_t;

    explicit BatchQueue(std::size_t slots);

    /// \brief Joins the queue, or the batch when a slot is free; 0 is the highest priority.
    Ticket enter(int priority);
    bool isRunning(Ticket ticket) const;
    /// \brief Leaves the batch or the queue; the first in the queue takes a freed slot.
    void leave(Ticket ticket);

    std::size_t running() const;
    std::size_t waiting() const;
    std::size_t slots() const;

private:
    void admit();

    std::size_t m_slots;
    Ticket m_last = 0;
    std::set<std::pair<int, Ticket>> m_waiting;
    std::set<Ticket> m_running;
};

} // namespace foxtailring::fakes
