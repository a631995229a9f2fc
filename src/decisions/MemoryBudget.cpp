#include "foxtailring/decisions/MemoryBudget.h"

namespace foxtailring {

// If n requests take all they can get, each ends up with 1 / (n + 1) of the budget, and as much
// remains free.
bool MemoryBudget::Reservation::tryResize(std::size_t bytes)
{
    const std::size_t others = m_budget.m_held - m_bytes;
    const std::size_t available = others < m_budget.m_total ? m_budget.m_total - others : 0;
    const bool isAllowed = bytes <= m_bytes || bytes <= available / 2;
    if (!isAllowed)
        return false;
    m_budget.m_held = others + bytes;
    m_bytes = bytes;
    return true;
}

} // namespace foxtailring
