#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Limits the memory that all requests of a process hold together. Thread-safe.
///
/// Protects against servers whose answers to many requests never end, and against callers that send
/// many large requests at a time. A request may hold at most
/// as much as it leaves free for others, so that a few large answers fit, and many of them still
/// leave room for small ones. The requests of one client account may hold a part of the budget
/// together, so that an account whose callers read slowly leaves room for the others.
class MemoryBudget
{
public:
    /// Requests may hold this part of a VM's memory; connection buffers and lists need the rest.
    static constexpr std::size_t vmMemoryDivisor = 4;
    /// \brief Bytes of the largest request that a process takes on a VM with this memory.
    static std::size_t largestRequest(std::size_t vmMemoryBytes);

    /// \param maxAccountShare part of the budget that one client account may hold, up to 1
    explicit MemoryBudget(std::size_t bytes, double maxAccountShare = 1);
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
        /// \brief The request belongs to \a account; empty: to none. False: the account holds too
        /// much, and the request must be refused unless it is small.
        bool assignTo(std::string_view account);

    private:
        bool isAllowed(std::size_t bytes) const;
        bool accountAllows(std::size_t bytes) const;
        /// Replaces the size; the budget is locked.
        void setBytes(std::size_t bytes);

        MemoryBudget &m_budget;
        bool m_isArriving;
        std::size_t m_bytes = 0;
        std::string m_account;
    };

    /// \brief Bytes that the requests of the account hold.
    std::size_t heldBy(std::string_view account) const;

private:
    const std::size_t m_total;
    const std::size_t m_maxAccountBytes;
    mutable std::mutex m_mutex;
    std::size_t m_held = 0;
    std::size_t m_arriving = 0;
    std::map<std::string, std::size_t, std::less<>> m_byAccount; ///< only those that hold something
};

} // namespace foxtailring
