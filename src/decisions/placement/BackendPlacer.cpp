#include "foxtailring/decisions/placement/BackendPlacer.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/placement/ExpectedCallTime.h"
#include "foxtailring/decisions/placement/ExpectedRunTime.h"
#include "foxtailring/decisions/placement/RendezvousHash.h"
#include "foxtailring/decisions/servers/BackendTable.h"

#include <algorithm>

namespace foxtailring {

namespace {

// Suspected servers come last, and doubtful ones just before them.
constexpr double suspectedCost = 1000;
constexpr double doubtfulCost = 100;
// Servers that did not just answer a probe may be dead, and their load is unknown.
constexpr double unresponsiveCost = 50;
// A failing server is worse than a loaded one, but better than one that does not answer.
constexpr double failingCost = 10;
// A copy takes memory and a slot, but no processing time.
constexpr double copyWeight = 0.4;
// A prompt in processing delays the first event of the next run until it is finished.
constexpr double prefillWeight = 3;
// An engine that uses more than this fraction of its memory preempts runs.
constexpr double fullMemoryFraction = 0.8;
constexpr double fullMemoryCost = 10;
// In units of one run: a run leaves the affinity servers of its prompt if they are failing or
// busier than others by this much.
constexpr double noAffinityCost = 2;
// Enough that some of them are idle and in healthy zones.
constexpr std::size_t affinityServerCount = 8;
// Random additions, so that processes with the same knowledge do not all choose the same server.
constexpr double maxRunTieBreak = 1;
constexpr double maxCallTieBreak = 0.05;

bool contains(std::span<const std::string> ids, const std::string &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

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

std::optional<BackendState> BackendPlacer::chooseForCall(const PlacementRequest &request,
                                                         TimePoint now, RandomSource &random) const
{
    const std::vector<BackendState> servers = m_table.candidates(request.service, now);
    const ExpectedCallTime expected(servers, now);
    if (!expected.isKnown())
        return cheapest(request, {&BackendPlacer::callCost, maxCallTieBreak}, now, random);
    const auto cost = [&](const BackendPlacer &placer, const BackendState &server) {
        return expected.at(server) + placer.distanceCost(server) + ExpectedCallTime::spread(random);
    };
    return cheapest(request, {cost, 0}, now, random);
}

std::optional<BackendState> BackendPlacer::chooseForRun(const PlacementRequest &request,
                                                        TimePoint now, RandomSource &random) const
{
    return cheapest(request, runCostModel(request, ExpectedRunTime::choiceSpread), now, random);
}

// A copy takes memory and a slot only, so it goes where the load is least.
std::optional<BackendState> BackendPlacer::chooseForCopy(const PlacementRequest &request,
                                                         TimePoint now, RandomSource &random) const
{
    auto chosen = cheapest(request, leastLoad(), now, random);
    const bool isUseful = chosen && chosen->health == BackendHealth::Healthy
        && chosen->info.availabilityZone != request.avoidZone;
    return isUseful ? chosen : std::nullopt;
}

std::vector<BackendState> BackendPlacer::runCandidates(const PlacementRequest &request,
                                                       std::size_t maxCount, TimePoint now,
                                                       RandomSource &random) const
{
    const std::size_t maxPerZone = std::max<std::size_t>(maxCount / 2, 1);
    std::map<std::string, std::size_t> inZone;
    std::vector<BackendState> servers;
    for (BackendState &server :
         ranked(request, runCostModel(request, ExpectedRunTime::candidateSpread), now, random)) {
        if (servers.size() < maxCount && inZone[server.info.availabilityZone]++ < maxPerZone)
            servers.push_back(std::move(server));
    }
    return servers;
}

std::vector<std::string> BackendPlacer::promptAffinityServers(std::string_view service,
                                                              std::string_view promptId,
                                                              TimePoint now) const
{
    return RendezvousHash::rank(promptId, m_table.candidateIds(service, now), affinityServerCount);
}

std::optional<BackendState> BackendPlacer::cheapest(const PlacementRequest &request,
                                                    const CostModel &costModel, TimePoint now,
                                                    RandomSource &random) const
{
    std::vector<BackendState> servers = ranked(request, costModel, now, random);
    if (servers.empty())
        return std::nullopt;
    return std::move(servers.front());
}

std::vector<BackendState> BackendPlacer::ranked(const PlacementRequest &request,
                                                const CostModel &costModel, TimePoint now,
                                                RandomSource &random) const
{
    std::vector<BackendState> candidates = m_table.candidates(request.service, now);
    std::vector<std::pair<double, BackendState>> withCosts;
    withCosts.reserve(candidates.size());
    for (BackendState &server : candidates) {
        if (contains(request.exclude, server.info.id))
            continue;
        if (request.accepts && !request.accepts(server.info))
            continue;
        double cost = costModel.cost(*this, server) + healthCost(server)
            + costModel.maxTieBreak * random.generateDouble();
        if (!request.avoidZone.empty() && server.info.availabilityZone == request.avoidZone)
            cost += doubtfulCost;
        if (!request.affinityServers.empty() && !contains(request.affinityServers, server.info.id))
            cost += request.usesSpeed ? ExpectedRunTime::noAffinityCost : noAffinityCost;
        if (!request.responsive.empty() && !contains(request.responsive, server.info.id))
            cost += unresponsiveCost;
        withCosts.emplace_back(cost, std::move(server));
    }
    std::stable_sort(withCosts.begin(), withCosts.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<BackendState> servers;
    servers.reserve(withCosts.size());
    for (auto &[cost, server] : withCosts)
        servers.push_back(std::move(server));
    return servers;
}

BackendPlacer::CostModel BackendPlacer::leastLoad()
{
    const auto cost = [](const BackendPlacer &placer, const BackendState &server) {
        return placer.runCost(server, 1);
    };
    return {cost, maxRunTieBreak};
}

BackendPlacer::CostModel BackendPlacer::runCostModel(const PlacementRequest &request, double spread)
{
    if (!request.usesSpeed)
        return leastLoad();
    const auto cost = [](const BackendPlacer &placer, const BackendState &server) {
        return ExpectedRunTime::of(placer.runCost(server, ExpectedRunTime::delayPerRun),
                                   server.relativeRunTime);
    };
    return {cost, spread};
}

// As a fraction of the server's slots.
double BackendPlacer::callCost(const BackendState &server) const
{
    const double slots = std::max<std::uint32_t>(server.info.slots, 1);
    return occupancy(server) / slots + distanceCost(server);
}

// In units of one run: runs slow each other down, and prompts in processing do so the most.
double BackendPlacer::runCost(const BackendState &server, double runWeight) const
{
    double cost = runWeight * occupancy(server) + copyWeight * server.copies;
    if (hasFreshLoad(server)) {
        cost += prefillWeight * (server.load->prefilling + server.load->waiting);
        const auto total = static_cast<double>(server.load->memoryTotalTokens);
        if (total > 0
            && static_cast<double>(server.load->memoryUsedTokens) > fullMemoryFraction * total)
            cost += fullMemoryCost;
    }
    return cost;
}

bool BackendPlacer::hasFreshLoad(const BackendState &server) const
{
    return server.load && server.loadAge < m_settings.maxLoadAge;
}

double BackendPlacer::occupancy(const BackendState &server) const
{
    const double own = server.inFlight;
    if (!hasFreshLoad(server))
        return own;
    const double reported = server.load->running + server.load->waiting;
    const double freshness =
        1 - std::chrono::duration<double>(server.loadAge) / m_settings.maxLoadAge;
    return std::max(own, reported * freshness);
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
    return isNear ? m_settings.otherZoneCost : m_settings.otherRegionCost;
}

double BackendPlacer::healthCost(const BackendState &server) const
{
    double cost = 0;
    if (server.health == BackendHealth::Suspected)
        cost += suspectedCost;
    if (server.health == BackendHealth::Doubtful)
        cost += doubtfulCost;
    if (server.failureRate > m_settings.maxFailureRate)
        cost += failingCost * server.failureRate;
    return cost;
}

} // namespace foxtailring
