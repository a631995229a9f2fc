#include "foxtailring/decisions/placement/ExpectedCallTime.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/servers/BackendState.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxtailring {

namespace {

using Seconds = std::chrono::duration<double>;

// Older figures say nothing of the requests at a server.
constexpr Seconds maxFigureAge {1};
// The expected wait at a server whose slots are just full, since calls of others are on the way.
// It falls with the fourth power of the load: at half of it nothing waits.
constexpr double fullWait = 0.5;
// Servers whose expected times differ by less are chosen about equally often.
constexpr double spreadScale = 0.12;
constexpr double minUniform = 1e-12;

double slotsOf(const BackendState &server)
{
    return std::max<std::uint32_t>(server.reported.slots.value.value_or(server.info.slots), 1);
}

double reportedRequests(const BackendState &server)
{
    return static_cast<double>(server.reported.running.value.value_or(0))
        + server.reported.waiting.value.value_or(0);
}

} // namespace

ExpectedCallTime::ExpectedCallTime(std::span<const BackendState> servers, TimePoint now)
    : m_now(now)
    , m_isKnown(
          std::any_of(servers.begin(), servers.end(),
                      [](const BackendState &server) { return server.pace.toldAge.has_value(); }))
    , m_meanOccupancy(meanOccupancy(servers))
{
}

double ExpectedCallTime::at(const BackendState &server) const
{
    const double slots = slotsOf(server);
    const double occupied = occupants(server);
    const double load = std::min(occupied / slots, 1.0);
    const double wait =
        fullWait * load * load * load * load + std::max(occupied + 1 - slots, 0.0) / slots;
    return server.pace.relativeDuration * (1 + wait);
}

bool ExpectedCallTime::hasFreeSlot(const BackendState &server) const
{
    return freshness(server) > 0 && occupants(server) + 1 <= slotsOf(server);
}

// The Gumbel distribution: the least sum is that of each server with a probability in proportion to
// exp(-time / spreadScale).
double ExpectedCallTime::spread(RandomSource &random)
{
    const double uniform = std::max(random.generateDouble(), minUniform);
    return spreadScale * std::log(-std::log(uniform));
}

double ExpectedCallTime::meanOccupancy(std::span<const BackendState> servers) const
{
    double sum = 0;
    double weights = 0;
    for (const BackendState &server : servers) {
        const double weight = freshness(server);
        sum += weight * reportedRequests(server) / slotsOf(server);
        weights += weight;
    }
    return weights > 0 ? sum / weights : 0;
}

// A server of which nothing is known is as busy as the others: if it counted as idle, all would
// send their calls there.
double ExpectedCallTime::occupants(const BackendState &server) const
{
    const double weight = freshness(server);
    const double expected =
        weight * reportedRequests(server) + (1 - weight) * m_meanOccupancy * slotsOf(server);
    return std::max<double>(server.inFlight, expected);
}

double ExpectedCallTime::freshness(const BackendState &server) const
{
    if (!server.reported.running.value)
        return 0;
    return std::clamp(1 - Seconds(m_now - server.reported.running.at) / maxFigureAge, 0.0, 1.0);
}

} // namespace foxtailring
