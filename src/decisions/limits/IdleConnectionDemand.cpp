#include "foxtailring/decisions/limits/IdleConnectionDemand.h"

#include "foxtailring/decisions/limits/IdleConnectionDivision.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

using Seconds = std::chrono::duration<double>;

namespace {

// By then a process with ten requests per second knows its rate to about a quarter.
constexpr Seconds minObservation {2};
// Above one half, so that a rate between two steps does not move from one to the other with each
// fluctuation.
constexpr double hysteresis = 0.75;
// The store shows what was written before the next write.
constexpr Seconds minInterval {5};
// 5% of what the store takes, also while the demands of all processes change.
constexpr double fleetWritesPerSecond = 20;

} // namespace

IdleConnectionDemand::IdleConnectionDemand(double phase)
    : m_phase(phase)
{
}

void IdleConnectionDemand::record(TimePoint now)
{
    if (!m_startedAt)
        m_startedAt = now;
    m_rate.record(now);
}

std::optional<int> IdleConnectionDemand::takeDue(std::optional<int> listed,
                                                 std::size_t processCount, TimePoint now)
{
    if (isTooSoon(processCount, now))
        return std::nullopt;
    // Below one request per second an idle connection is hardly ever used.
    const double exact = std::log2(std::max(perSecond(now), 1.0));
    if (listed && std::abs(exact - *listed) < hysteresis)
        return std::nullopt;
    const int demand =
        std::min(static_cast<int>(std::lround(exact)), IdleConnectionDivision::maxDemand);
    if (listed == demand)
        return std::nullopt;
    m_writtenAt = now;
    return demand;
}

bool IdleConnectionDemand::isTooSoon(std::size_t processCount, TimePoint now) const
{
    const Seconds interval(static_cast<double>(processCount) / fleetWritesPerSecond);
    if (!m_startedAt || now - *m_startedAt < minObservation + m_phase * interval)
        return true;
    return m_writtenAt && now - *m_writtenAt < std::max(interval, minInterval);
}

// The average begins at zero, so its first values are too low.
double IdleConnectionDemand::perSecond(TimePoint now) const
{
    const double age = Seconds(now - *m_startedAt).count();
    return m_rate.perSecond(now) / -std::expm1(-age / DemandEstimator::averagingSeconds);
}

} // namespace foxtailring
