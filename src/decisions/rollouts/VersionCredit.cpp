#include "foxtailring/decisions/rollouts/VersionCredit.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

// Credits that wait for a request; more would let a burst of them go to few servers at once.
constexpr double maxCredit = 2;

} // namespace

void VersionCredit::restart(double share, double extra, TimePoint extraAt)
{
    *this = VersionCredit {};
    m_share = share;
    m_extra = extra;
    m_extraAt = extraAt;
}

void VersionCredit::reserve(std::string route, TimePoint until)
{
    m_reservedRoute = std::move(route);
    m_reservedUntil = until;
}

bool VersionCredit::tryTake(std::string_view route, TimePoint now)
{
    m_credit = std::max(m_credit, std::min(m_credit + m_share, maxCredit));
    if (now >= m_extraAt)
        m_credit += std::exchange(m_extra, 0);
    bool &wasTaken = m_wasTaken.try_emplace(std::string(route), false).first->second;
    const bool isReserved = now < m_reservedUntil && route != m_reservedRoute;
    if (std::exchange(wasTaken, false) || isReserved || m_credit < 1)
        return false;
    wasTaken = true;
    m_credit -= 1;
    return true;
}

} // namespace foxtailring
