#pragma once

#include <cstddef>

namespace foxtailring {

/// \brief Limits the memory that all requests of a process hold together. Not thread-safe.
///
/// Protects against servers whose answers to many requests never end. A request may hold at most
/// as much as it leaves free for others, so that a few large answers fit, and many of them still
/// leave room for small ones.
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

    /// \brief Memory held by one request; returned to the budget on destruction.
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

        /// \brief Changes the size to \a bytes. False if that exceeds the limit of a request; the
        /// size is unchanged then.
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
