#pragma once

#include <cstddef>

namespace foxtailring {

/// \brief What all requests of a process may hold in memory together. Not thread-safe.
///
/// Answers the load of servers that send without end to many requests at once: one request may hold
/// as much as it leaves for others, so that a few large ones are served and many leave room for
/// small ones.
class MemoryBudget
{
public:
    explicit MemoryBudget(std::size_t bytes)
        : m_total(bytes)
    {
    }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    std::size_t held() const { return m_held; }

    /// \brief What one request holds; given back at its end.
    class Reservation
    {
    public:
        explicit Reservation(MemoryBudget &budget)
            : m_budget(budget)
        {
        }
        ~Reservation() { m_budget.m_held -= m_bytes; }
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        /// \brief Notes that the request holds \a bytes now. False: that is more than it may.
        bool tryResize(std::size_t bytes);

    private:
        MemoryBudget &m_budget;
        std::size_t m_bytes = 0;
    };

private:
    const std::size_t m_total;
    std::size_t m_held = 0;
};

} // namespace foxtailring
