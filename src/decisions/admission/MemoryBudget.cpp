#include "foxtailring/decisions/admission/MemoryBudget.h"

#include <algorithm>

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

MemoryBudget::MemoryBudget(std::size_t bytes, double maxAccountShare)
    : m_total(bytes)
    , m_maxAccountBytes(static_cast<std::size_t>(static_cast<double>(bytes)
                                                 * std::clamp(maxAccountShare, 0., 1.)))
{
}

std::size_t MemoryBudget::heldBy(std::string_view account) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_byAccount.find(account);
    return found == m_byAccount.end() ? 0 : found->second;
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

bool MemoryBudget::Reservation::tryResize(std::size_t bytes)
{
    const std::lock_guard lock(m_budget.m_mutex);
    if (bytes > m_bytes && (!isAllowed(bytes) || !accountAllows(bytes)))
        return false;
    setBytes(bytes);
    return true;
}

// If n requests take all they can get, each ends up with 1 / (n + 1) of the budget, and as much
// remains free.
bool MemoryBudget::Reservation::isAllowed(std::size_t bytes) const
{
    const bool isLargeArrival = m_isArriving && bytes > maxSmallRequestBytes;
    const std::size_t reserve = isLargeArrival ? m_budget.m_total / runningReserveDivisor : 0;
    const std::size_t total = m_budget.m_total - reserve;
    const std::size_t others = m_budget.m_held - m_bytes;
    const std::size_t available = others < total ? total - others : 0;
    return bytes <= available / 2;
}

// Small requests of an account go on beside its slow ones.
bool MemoryBudget::Reservation::accountAllows(std::size_t bytes) const
{
    if (m_account.empty() || bytes <= maxSmallRequestBytes)
        return true;
    const auto found = m_budget.m_byAccount.find(m_account);
    const std::size_t held = found == m_budget.m_byAccount.end() ? 0 : found->second;
    return held - m_bytes + bytes <= m_budget.m_maxAccountBytes;
}

void MemoryBudget::Reservation::setBytes(std::size_t bytes)
{
    m_budget.m_held += bytes - m_bytes;
    if (m_isArriving)
        m_budget.m_arriving += bytes - m_bytes;
    if (!m_account.empty()) {
        auto &held = m_budget.m_byAccount[m_account];
        held += bytes - m_bytes;
        if (held == 0)
            m_budget.m_byAccount.erase(m_account);
    }
    m_bytes = bytes;
}

bool MemoryBudget::Reservation::assignTo(std::string_view account)
{
    const std::lock_guard lock(m_budget.m_mutex);
    const std::size_t bytes = m_bytes;
    setBytes(0);
    m_account = account;
    setBytes(bytes);
    return accountAllows(bytes);
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
    setBytes(0);
}

} // namespace foxtailring
