#include "foxtailring/decisions/admission/MemoryBudget.h"

namespace foxtailring {

namespace {

// Part of the budget that requests in progress do not fill while they arrive. A running request
// whose answer grows is given up when the budget allows no more.
constexpr std::size_t runningReserveDivisor = 4;
// A request of this size may use that part too. Answers without end fill the rest, and would
// otherwise keep out all other requests.
constexpr std::size_t maxSmallRequestBytes = 8 * 1024;

} // namespace

std::size_t MemoryBudget::largestRequest(std::size_t vmMemoryBytes)
{
    const std::size_t total = vmMemoryBytes / vmMemoryDivisor;
    return (total - total / runningReserveDivisor) / 2;
}

std::size_t MemoryBudget::held() const
{
    const std::lock_guard lock(m_mutex);
    return m_held;
}

std::size_t MemoryBudget::arriving() const
{
    const std::lock_guard lock(m_mutex);
    return m_arriving;
}

// If n requests take all they can get, each ends up with 1 / (n + 1) of the budget, and as much
// remains free.
bool MemoryBudget::Reservation::tryResize(std::size_t bytes)
{
    const std::lock_guard lock(m_budget.m_mutex);
    const bool isLargeArrival = m_isArriving && bytes > maxSmallRequestBytes;
    const std::size_t reserve = isLargeArrival ? m_budget.m_total / runningReserveDivisor : 0;
    const std::size_t total = m_budget.m_total - reserve;
    const std::size_t others = m_budget.m_held - m_bytes;
    const std::size_t available = others < total ? total - others : 0;
    const bool isAllowed = bytes <= m_bytes || bytes <= available / 2;
    if (!isAllowed)
        return false;
    m_budget.m_held = others + bytes;
    if (m_isArriving)
        m_budget.m_arriving += bytes - m_bytes;
    m_bytes = bytes;
    return true;
}

void MemoryBudget::Reservation::setArrived()
{
    const std::lock_guard lock(m_budget.m_mutex);
    if (m_isArriving)
        m_budget.m_arriving -= m_bytes;
    m_isArriving = false;
}

MemoryBudget::Reservation::~Reservation()
{
    const std::lock_guard lock(m_budget.m_mutex);
    m_budget.m_held -= m_bytes;
    if (m_isArriving)
        m_budget.m_arriving -= m_bytes;
}

} // namespace foxtailring
