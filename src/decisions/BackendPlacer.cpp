#include "foxtailring/decisions/BackendPlacer.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/BackendTable.h"

#include <algorithm>

namespace foxtailring {

namespace {

// A suspected server is a last resort, and a doubtful one the resort before it.
constexpr double suspectedCost = 1000;
constexpr double doubtfulCost = 100;
// A server that fails requests is worse than any load, and better than one that does not answer.
constexpr double failingCost = 10;
// A copy occupies memory and a slot but takes no processing.
constexpr double copyWeight = 0.4;
// Breaks ties between equal servers, so that entries that know the same do not choose the same.
constexpr double tieBreak = 0.5;

} // namespace

BackendPlacer::BackendPlacer(const BackendTable &table, std::string zone,
                             std::map<std::string, std::string, std::less<>> regions,
                             Settings settings)
    : m_table(table)
    , m_zone(std::move(zone))
    , m_regions(std::move(regions))
    , m_settings(settings)
{
}

std::optional<BackendState> BackendPlacer::forCall(const PlacementRequest &request, TimePoint now,
                                                   RandomSource &random) const
{
    return cheapest(request, &BackendPlacer::callCost, now, random);
}

std::optional<BackendState> BackendPlacer::forRun(const PlacementRequest &request, TimePoint now,
                                                  RandomSource &random) const
{
    return cheapest(request, &BackendPlacer::runCost, now, random);
}

std::optional<BackendState> BackendPlacer::forCopy(const PlacementRequest &request, TimePoint now,
                                                   RandomSource &random) const
{
    auto chosen = cheapest(request, &BackendPlacer::runCost, now, random);
    const bool isUseful = chosen && chosen->trust == BackendTrust::Sound
        && chosen->info.availabilityZone != request.avoidZone;
    return isUseful ? chosen : std::nullopt;
}

std::optional<BackendState> BackendPlacer::cheapest(const PlacementRequest &request, Cost cost,
                                                    TimePoint now, RandomSource &random) const
{
    std::optional<BackendState> best;
    double bestCost = 0;
    for (BackendState &server : m_table.candidates(request.service, now)) {
        const auto &excluded = request.exclude;
        if (std::find(excluded.begin(), excluded.end(), server.info.id) != excluded.end())
            continue;
        double serverCost = (this->*cost)(server) + trustCost(server) + tieBreak * random.unit();
        if (!request.avoidZone.empty() && server.info.availabilityZone == request.avoidZone)
            serverCost += doubtfulCost;
        if (best && serverCost >= bestCost)
            continue;
        bestCost = serverCost;
        best = std::move(server);
    }
    return best;
}

// In units of one server's slots.
double BackendPlacer::callCost(const BackendState &server) const
{
    const double slots = std::max<std::uint32_t>(server.info.slots, 1);
    return occupancy(server) / slots + distanceCost(server);
}

// In units of one run: each run slows down those beside it.
double BackendPlacer::runCost(const BackendState &server) const
{
    return occupancy(server) + copyWeight * server.copies;
}

double BackendPlacer::occupancy(const BackendState &server) const
{
    const double own = server.inFlight;
    if (!server.load || server.loadAge >= m_settings.loadTrustedFor)
        return own;
    const double told = server.load->running + server.load->waiting;
    const double trust =
        1 - std::chrono::duration<double>(server.loadAge) / m_settings.loadTrustedFor;
    return std::max(own, told * trust);
}

double BackendPlacer::distanceCost(const BackendState &server) const
{
    const std::string &zone = server.info.availabilityZone;
    if (zone == m_zone)
        return 0;
    const auto own = m_regions.find(m_zone);
    const auto other = m_regions.find(zone);
    const bool isNear =
        own != m_regions.end() && other != m_regions.end() && own->second == other->second;
    return isNear ? m_settings.zoneCost : m_settings.regionCost;
}

double BackendPlacer::trustCost(const BackendState &server) const
{
    double cost = 0;
    if (server.trust == BackendTrust::Suspected)
        cost += suspectedCost;
    if (server.trust == BackendTrust::Doubtful)
        cost += doubtfulCost;
    if (server.failureRate > m_settings.toleratedFailureRate)
        cost += failingCost * server.failureRate;
    return cost;
}

} // namespace foxtailring
