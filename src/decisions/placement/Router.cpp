#include "foxtailring/decisions/placement/Router.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/placement/PrefixHints.h"
#include "foxtailring/decisions/servers/ServerTable.h"

#include "LoadEstimate.h"
#include "RouteCandidate.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace foxtailring {

namespace {

using CandidateList = std::vector<const RouteCandidate *>;

/// Extra draws when all servers drawn so far are saturated. With more of them, all entries choose
/// the few servers that an old report shows as free: with reports every 5 s and a half-life of 2 s,
/// the p99 wait is 3.7 s with none, 4.7 s with 1 and 5.4 s with 2. With a half-life of a fifth of
/// the run time, 1 is no worse than none, and better for long runs.
constexpr int extraDraws = 1;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

CandidateList candidatesIn(const std::vector<RouteCandidate> &candidates, RouteTier tier)
{
    CandidateList found;
    for (const RouteCandidate &candidate : candidates) {
        if (candidate.tier == tier)
            found.push_back(&candidate);
    }
    return found;
}

double meanLoad(const CandidateList &tier)
{
    double work = 0;
    double capacity = 0;
    for (const RouteCandidate *candidate : tier) {
        work += candidate->load * candidate->capacity;
        capacity += candidate->capacity;
    }
    return work / capacity;
}

std::string reportText(const ServerState &state)
{
    if (state.reportAge == Duration::max())
        return "no report yet";
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(state.reportAge);
    return "report " + std::to_string(age.count()) + " ms old";
}

RouteChoice toRouteChoice(const RouteCandidate &candidate, double score, const char *rule)
{
    char load[32];
    std::snprintf(load, sizeof load, "%.2f", candidate.load);
    std::string reason = std::string(rule) + ", " + routeTierName(candidate.tier) + ", load " + load
        + " of which own work " + std::to_string(candidate.state.ownInFlight) + "/"
        + std::to_string(candidate.state.capacity) + ", " + reportText(candidate.state);
    if (candidate.hasHint)
        reason += ", prefix hint";
    return RouteChoice {candidate.state.info->id, candidate.state.info->address, std::move(reason),
                        score};
}

} // namespace

Router::Router(const ServerTable &table, const PrefixHints &hints, Settings settings)
    : m_table(table)
    , m_hints(hints)
    , m_settings(settings)
{
}

Result<RouteChoice> Router::choose(const RouteRequest &request, TimePoint now,
                                   RandomSource &random) const
{
    const auto candidates = candidatesFor(request, now);
    const RouteCandidate *best = nullptr;
    const char *rule = "two choices";
    for (const RouteTier tier : routeTiers) {
        const CandidateList inTier = candidatesIn(candidates, tier);
        if (inTier.empty())
            continue;
        const RouteCandidate *pick = bestOfTwo(inTier, request, random);
        if (best == nullptr || score(*pick, request) < score(*best, request))
            best = pick;
        // Another zone or region costs latency and money. Farther servers are therefore considered
        // only when the nearer ones are saturated, and chosen only when queueing costs more than
        // the distance.
        if (meanLoad(inTier) < m_settings.saturationLoad)
            break;
        rule = "two choices, nearer servers saturated";
    }
    if (best == nullptr)
        return Error {ErrorCode::Unavailable,
                      "no backend server of service \"" + request.service + "\" takes new work"};
    return toRouteChoice(*best, score(*best, request), rule);
}

Result<RouteChoice> Router::chooseForResume(const ResumeRequest &request, TimePoint now,
                                            RandomSource &random) const
{
    const auto candidates = candidatesFor(request.route, now);
    if (candidates.empty())
        return Error {ErrorCode::Unavailable,
                      "no backend server of service \"" + request.route.service
                          + "\" can take over the generation"};
    std::vector<double> costs;
    costs.reserve(candidates.size());
    for (const RouteCandidate &candidate : candidates)
        costs.push_back(resumeCost(candidate, request));

    // After many losses at once all entries see the same costs, and the cheapest server would get
    // all resumes. Two random choices among the near-best ones spread them.
    const double maxCost =
        *std::min_element(costs.begin(), costs.end()) * (1 + m_settings.resumeCostTolerance);
    std::vector<std::size_t> nearBest;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        if (costs[i] <= maxCost)
            nearBest.push_back(i);
    }
    const std::size_t first = nearBest[random.bounded(nearBest.size())];
    const std::size_t second = nearBest[random.bounded(nearBest.size())];
    const std::size_t chosen = costs[second] < costs[first] ? second : first;
    return toRouteChoice(candidates[chosen], costs[chosen], "least resume cost");
}

std::vector<RouteCandidate> Router::candidatesFor(const RouteRequest &request, TimePoint now) const
{
    auto states = m_table.candidates(request.service, now);
    std::erase_if(states, [&](const ServerState &state) {
        return contains(request.excludedServerIds, state.info->id);
    });
    std::vector<std::string> hinted;
    if (request.prefixHash)
        hinted = m_hints.servers(*request.prefixHash, now);

    const double halfLifeSeconds = std::chrono::duration<double>(request.meanRunTime).count()
        * m_settings.reportHalfLifeInRunTimes;
    const LoadEstimate estimate(states, halfLifeSeconds, m_settings.assumedCapacity);
    std::vector<RouteCandidate> candidates;
    candidates.reserve(states.size());
    for (ServerState &state : states) {
        RouteCandidate candidate;
        candidate.tier = routeTierOf(*state.info, request);
        candidate.capacity = estimate.capacity(state);
        candidate.load = estimate.load(state);
        candidate.hasHint = contains(hinted, state.info->id);
        candidate.state = std::move(state);
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

const RouteCandidate *Router::bestOfTwo(std::span<const RouteCandidate *const> from,
                                        const RouteRequest &request, RandomSource &random) const
{
    const auto better = [&](const RouteCandidate *left, const RouteCandidate *right) {
        return score(*right, request) < score(*left, request) ? right : left;
    };
    const std::size_t first = random.bounded(from.size());
    const RouteCandidate *best = from[first];
    for (int draw = 0; draw <= extraDraws && from.size() > 1; ++draw) {
        // Excludes the first draw: in a small tier it would often be drawn again, which leaves no
        // choice.
        const std::size_t second = random.bounded(from.size() - 1);
        best = better(best, from[second < first ? second : second + 1]);
        if (best->load < m_settings.saturationLoad)
            break;
    }
    // Hinted servers are always compared as well. Their discount is bounded, so that a popular
    // prefix or a wrong hint cannot overload one server.
    for (const RouteCandidate *candidate : from) {
        if (candidate->hasHint)
            best = better(best, candidate);
    }
    return best;
}

double Router::score(const RouteCandidate &candidate, const RouteRequest &request) const
{
    double value = candidate.load
        + valueForTier(candidate.tier,
                       {0, m_settings.otherZoneCost,
                        m_settings.otherRegionCost * request.weights.resource});
    if (candidate.hasHint && candidate.load < m_settings.saturationLoad)
        value -= m_settings.prefixDiscount;
    return value;
}

double Router::resumeCost(const RouteCandidate &candidate, const ResumeRequest &request) const
{
    const auto cached = candidate.hasHint ? std::min(request.cachedTokens, request.inputTokens) : 0;
    const auto prefillTokens = static_cast<double>(request.inputTokens - cached);
    const double queuedPerSlot = std::max(0.0, candidate.load + 1 / candidate.capacity - 1);
    const double meanRunMs =
        std::chrono::duration<double, std::milli>(request.route.meanRunTime).count();
    // The prefill shares the engine with the requests that run there.
    const double prefillMs =
        prefillTokens * m_settings.prefillMsPerToken * (1 + std::min(1.0, candidate.load));
    const double expectedResumeMs =
        valueForTier(candidate.tier,
                     {m_settings.sameZoneRoundTripMs, m_settings.sameRegionRoundTripMs,
                      m_settings.otherRegionRoundTripMs})
        + queuedPerSlot * meanRunMs + prefillMs;
    const double crossRegionBytes =
        candidate.tier == RouteTier::OtherRegion ? static_cast<double>(request.transferBytes) : 0;
    const CostWeights &weights = request.route.weights;
    return weights.latency * expectedResumeMs
        + weights.resource
        * (prefillTokens * m_settings.prefillTokenCostMs
           + crossRegionBytes * m_settings.crossRegionByteCostMs);
}

} // namespace foxtailring
