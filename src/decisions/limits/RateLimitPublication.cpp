#include "foxtailring/decisions/limits/RateLimitPublication.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

namespace {

// Demands below this one count as none.
constexpr double minDemand = 1.0 / 16;
// Published demands are powers of two, and change only when the demand is this factor away from the
// published one: shares that move with every fluctuation could not be used.
constexpr double demandTolerance = 1.8;

double powerOfTwo(double demand)
{
    return demand < minDemand ? 0 : std::exp2(std::round(std::log2(demand)));
}

// Demand to publish in place of published.
double steady(double published, double demand)
{
    const bool isClose = published > 0 && demand < published * demandTolerance
        && demand > published / demandTolerance;
    return isClose ? published : powerOfTwo(demand);
}

const RateLimitReport::Entry *entryOf(const RateLimitReport &report, std::string_view serverId)
{
    const auto found =
        std::find_if(report.entries.begin(), report.entries.end(),
                     [serverId](const auto &entry) { return entry.serverId == serverId; });
    return found == report.entries.end() ? nullptr : &*found;
}

bool differs(const RateLimitReport::Entry &a, const RateLimitReport::Entry &b)
{
    return a.demand != b.demand || a.limit != b.limit;
}

bool haveSameServers(const RateLimitReport &a, const RateLimitReport &b)
{
    return std::equal(a.entries.begin(), a.entries.end(), b.entries.begin(), b.entries.end(),
                      [](const auto &x, const auto &y) { return x.serverId == y.serverId; });
}

bool haveSameEntries(const RateLimitReport &a, const RateLimitReport &b)
{
    return std::equal(a.entries.begin(), a.entries.end(), b.entries.begin(), b.entries.end(),
                      [](const auto &x, const auto &y) { return !differs(x, y); });
}

} // namespace

bool RateLimitPublication::names(std::string_view serverId) const
{
    return entryOf(m_report, serverId) != nullptr;
}

double RateLimitPublication::steadyDemand(std::string_view serverId, double demand) const
{
    const RateLimitReport::Entry *published = entryOf(m_report, serverId);
    return steady(published ? published->demand : 0, demand);
}

bool RateLimitPublication::isDue(const RateLimitReport &report, Duration interval,
                                 TimePoint now) const
{
    if (report.entries.empty() && m_report.entries.empty())
        return false;
    if (!haveSameServers(report, m_report))
        return true;
    const Duration age = now - m_publishedAt;
    const bool isChanged = m_isRepeating || !haveSameEntries(report, m_report);
    return age >= (isChanged ? 1 : refreshIntervals) * interval;
}

void RateLimitPublication::record(const RateLimitReport &report, TimePoint now)
{
    m_report = report;
    m_publishedAt = now;
    m_isRepeating = false;
}

} // namespace foxtailring
