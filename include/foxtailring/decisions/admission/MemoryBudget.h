#pragma once

#include <cstddef>
#include <mutex>

namespace foxtailring {

/// \brief Limits the memory that all requests of a process hold together. Thread-safe.
///
/// Protects against servers whose answers to many requests never end, and against callers that send
/// many large requests at a time. A request may hold at most
/// as much as it leaves free for others, so that a few large answers fit, and many of them still
/// leave room for small ones.
class MemoryBudget
{
public:
    /// Requests may hold this part of a VM's memory; connection buffers and lists need the rest.
    static constexpr std::size_t vmMemoryDivisor = 4;
    /// \brief Bytes of the largest request that a process takes on a VM with this memory.
    static std::size_t largestRequest(std::size_t vmMemoryBytes);

    explicit MemoryBudget(std::size_t bytes)
        : m_total(bytes)
    {
    }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    std::size_t held() const;
    /// \brief Part of held() of the requests that have not arrived whole.
    std::size_t arriving() const;

    /// \brief Memory held by one request; returned to the budget on destruction. Used by one
    /// thread at a time.
    class Reservation
    {
    public:
        /// \param isArriving the request has not arrived whole: a quarter of the budget is left
        /// to those that have, until setArrived()
        explicit Reservation(MemoryBudget &budget, bool isArriving = false)
            : m_budget(budget)
            , m_isArriving(isArriving)
        {
        }
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        /// \brief Changes the size to \a bytes. False if that exceeds the limit of a request; the
        /// size is unchanged then.
        bool tryResize(std::size_t bytes);
        /// \brief The request has arrived whole.
        void setArrived();

    private:
        MemoryBudget &m_budget;
        bool m_isArriving;
        std::size_t m_bytes = 0;
    };

private:
    const std::size_t m_total;
    mutable std::mutex m_mutex;
    std::size_t m_held = 0;
    std::size_t m_arriving = 0;
};

} // namespace foxtailring
