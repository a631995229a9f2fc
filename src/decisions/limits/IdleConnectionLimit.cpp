#include "foxtailring/decisions/limits/IdleConnectionLimit.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// The transport closes expired connections every 0.1 s. A shorter time would mostly be exceeded.
constexpr milliseconds minKeptFor {200};
// Longer than the time in which a queue at a server empties, and short enough that a restart of a
// server costs few new connections.
constexpr milliseconds resetPause {5000};
constexpr std::chrono::seconds forgottenAfter {60};
// Twice the averaging time of DemandEstimator. Before that the rate is underestimated, and a large
// fleet that starts would keep a connection at each process.
constexpr std::chrono::seconds warmUp {16};
// Further connections are needed at peaks only; their share is small.
constexpr std::size_t maxIdleCount = 16;

} // namespace

IdleConnectionLimit::IdleConnectionLimit(double fleetLimit, milliseconds maxKeptFor)
    : m_fleetLimit(fleetLimit)
    , m_maxKeptFor(maxKeptFor)
    , m_share(fleetLimit)
{
}

void IdleConnectionLimit::setProcessCount(std::size_t count)
{
    m_share = m_fleetLimit / static_cast<double>(std::max<std::size_t>(count, 1));
}

// With connections that become idle at random times and rate r, one that is kept for t seconds is
// idle during the fraction 1 - exp(-r t) of the time, so the share is kept if
// t = -ln(1 - share) / r. That is also the fraction of requests that find it.
milliseconds IdleConnectionLimit::keepFor(std::string_view serverName, std::size_t idleCount,
                                          TimePoint now)
{
    Server &server = use(serverName, now);
    if (idleCount >= maxIdleCount)
        return milliseconds(0);
    if (server.demand.size() <= idleCount)
        server.demand.resize(idleCount + 1);
    DemandEstimator &demand = server.demand[idleCount];
    demand.record(now);
    if (now < server.avoidedUntil)
        return milliseconds(0);
    const double share = shareBeside(idleCount);
    if (share >= 1)
        return m_maxKeptFor;
    if (m_share < 1 && now - server.knownSince < warmUp)
        return milliseconds(0);
    const double seconds = -std::log1p(-share) / demand.perSecond(now);
    const double maxSeconds = std::chrono::duration<double>(m_maxKeptFor).count();
    const auto time = milliseconds(static_cast<int>(std::min(seconds, maxSeconds) * 1000));
    return time < minKeptFor ? milliseconds(0) : time;
}

// Whole connections first. Of what is left, each further connection has half: it is needed more
// rarely than the one before.
double IdleConnectionLimit::shareBeside(std::size_t idleCount) const
{
    const double whole = std::floor(m_share);
    const double beyond = static_cast<double>(idleCount) - whole;
    if (beyond < 0)
        return 1;
    if (whole == 0)
        return idleCount == 0 ? m_share : 0;
    return (m_share - whole) * std::exp2(-beyond - 1);
}

void IdleConnectionLimit::recordReset(std::string_view server, TimePoint now)
{
    use(server, now).avoidedUntil = now + resetPause;
}

void IdleConnectionLimit::expire(TimePoint now)
{
    std::erase_if(m_servers,
                  [now](const auto &entry) { return now - entry.second.usedAt > forgottenAfter; });
}

IdleConnectionLimit::Server &IdleConnectionLimit::use(std::string_view server, TimePoint now)
{
    const auto [found, isNew] = m_servers.try_emplace(std::string(server));
    if (isNew)
        found->second.knownSince = now;
    found->second.usedAt = now;
    return found->second;
}

} // namespace foxtailring
