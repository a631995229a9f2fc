#include "ServiceAdmission.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

namespace {

/// Weight of the newest run in the mean run time.
constexpr double newestRunTimeWeight = 0.05;
/// Least part of the service rate that an estimate leaves to a priority, so that it stays finite.
constexpr double minRateFraction = 0.05;

} // namespace

ServiceAdmission::ServiceAdmission(double assumedRunSeconds)
    : m_meanRunSeconds(assumedRunSeconds)
{
}

std::uint32_t ServiceAdmission::effectiveLimit() const
{
    if (limit == 0)
        return 0;
    const auto scaled = static_cast<std::uint32_t>(std::floor(limit * newWorkShare));
    return std::max<std::uint32_t>(1, scaled);
}

std::size_t ServiceAdmission::queued() const
{
    return queuedAbove(priorityCount);
}

std::size_t ServiceAdmission::queuedAbove(std::size_t level) const
{
    std::size_t total = 0;
    for (std::size_t i = 0; i < level; ++i)
        total += levels[i].size();
    return total;
}

void ServiceAdmission::recordAccepted(std::size_t level, TimePoint now)
{
    m_accepted[level].recordEvent(now);
}

void ServiceAdmission::recordRun(Duration runTime)
{
    const double seconds = std::chrono::duration<double>(runTime).count();
    m_meanRunSeconds += newestRunTimeWeight * (seconds - m_meanRunSeconds);
}

double ServiceAdmission::expectedWaitSeconds(std::size_t level, std::size_t ahead,
                                             TimePoint now) const
{
    const double serviceRate = effectiveLimit() / std::max(1e-3, m_meanRunSeconds);
    double rateAbove = 0;
    for (std::size_t i = 0; i < level; ++i)
        rateAbove += m_accepted[i].perSecond(now);
    // Requests of higher priority that arrive in the meantime go first.
    const double rate = std::max(serviceRate * minRateFraction, serviceRate - rateAbove);
    return (static_cast<double>(ahead) + 1) / rate;
}

} // namespace foxtailring
