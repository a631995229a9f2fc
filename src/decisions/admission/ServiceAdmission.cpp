#include "ServiceAdmission.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

namespace {

/// Smoothing factor of the moving average of run times.
constexpr double newestRunTimeWeight = 0.05;
/// Fraction of the service rate that the estimate leaves to each priority, so that the expected
/// wait stays finite when higher priorities use all of it.
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

std::size_t ServiceAdmission::queuedAbove(std::size_t priority) const
{
    std::size_t total = 0;
    for (std::size_t i = 0; i < priority; ++i)
        total += queues[i].size();
    return total;
}

void ServiceAdmission::recordAccepted(std::size_t priority, TimePoint now)
{
    m_accepted[priority].recordEvent(now);
}

void ServiceAdmission::recordRun(Duration runTime)
{
    const double seconds = std::chrono::duration<double>(runTime).count();
    m_meanRunSeconds += newestRunTimeWeight * (seconds - m_meanRunSeconds);
}

double ServiceAdmission::expectedWaitSeconds(std::size_t priority, std::size_t ahead,
                                             TimePoint now) const
{
    const double serviceRate = effectiveLimit() / std::max(1e-3, m_meanRunSeconds);
    double rateAbove = 0;
    for (std::size_t i = 0; i < priority; ++i)
        rateAbove += m_accepted[i].perSecond(now);
    // Requests of higher priority that arrive during the wait are served first.
    const double rate = std::max(serviceRate * minRateFraction, serviceRate - rateAbove);
    return (static_cast<double>(ahead) + 1) / rate;
}

} // namespace foxtailring
