#pragma once

#include <cstdint>
#include <mutex>

namespace foxtailring::fakes {

/// \brief Highest fencing token seen. Thread-safe.
class FencingGuard
{
public:
    /// \param checks false: every number is admitted, as by servers that ignore fencing.
    explicit FencingGuard(bool checks)
        : m_checks(checks)
    {
    }

    /// \brief False when \a number is lower than an earlier one and numbers are checked.
    bool admit(std::uint64_t number)
    {
        const std::lock_guard lock(m_mutex);
        if (m_checks && number < m_highest)
            return false;
        m_highest = number;
        return true;
    }

private:
    bool m_checks;
    std::mutex m_mutex;
    std::uint64_t m_highest = 0;
};

} // namespace foxtailring::fakes
