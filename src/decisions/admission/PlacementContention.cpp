#include "foxtailring/decisions/admission/PlacementContention.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

namespace {

using Seconds = std::chrono::duration<double>;

// Of a report and of the run that is placed by it.
constexpr double reportLagSeconds = 0.35;
// More runs than these would wait for one another's prompts.
constexpr double maxRunsPerEngine = 1.5;
constexpr double averagingSeconds = 3;
constexpr double latestLookWeight = 0.03;
constexpr std::chrono::seconds engineCountInterval {1};

double decay(Duration elapsed)
{
    return std::exp(-Seconds(elapsed).count() / averagingSeconds);
}

} // namespace

void PlacementContention::setProcessCount(std::size_t count)
{
    m_processCount = std::max<std::size_t>(count, 1);
}

bool PlacementContention::needsEngineCount(std::string_view service, TimePoint now) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() || now - found->second.countedAt >= engineCountInterval;
}

void PlacementContention::setEngineCount(std::string_view service, std::size_t count, TimePoint now)
{
    Service &known = m_services[std::string(service)];
    known.engines = count;
    known.countedAt = now;
}

void PlacementContention::recordAsked(std::string_view service, bool hasRoom)
{
    double &withRoom = m_services[std::string(service)].withRoom;
    withRoom += latestLookWeight * ((hasRoom ? 1 : 0) - withRoom);
}

void PlacementContention::recordFound(std::string_view service, TimePoint now)
{
    Service &known = m_services[std::string(service)];
    known.foundPerSecond =
        known.foundPerSecond * decay(now - known.updatedAt) + 1 / averagingSeconds;
    known.updatedAt = now;
}

double PlacementContention::runsPerEngine(std::string_view service, TimePoint now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    const Service &known = found->second;
    const double perSecond =
        known.foundPerSecond * decay(now - known.updatedAt) * static_cast<double>(m_processCount);
    const double free = std::max(known.withRoom * static_cast<double>(known.engines), 1.0);
    return perSecond * reportLagSeconds / free;
}

double PlacementContention::usableFraction(std::string_view service, double fraction,
                                           TimePoint now) const
{
    const double runs = runsPerEngine(service, now) * fraction;
    return runs <= maxRunsPerEngine ? 1 : maxRunsPerEngine / runs;
}

} // namespace foxtailring
