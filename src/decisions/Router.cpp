#include "foxtailring/decisions/Router.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/PrefixHints.h"
#include "foxtailring/decisions/ServerTable.h"

#include "LoadEstimate.h"
#include "RouteOption.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace foxtailring {

namespace {

using Tier = std::vector<const RouteOption *>;

/// Extra draws when all servers drawn are saturated though their tier is not. More would make
/// entries herd on the few free servers of an old report: in a trial with reports of 5 s and a
/// half-life of 2 s, p99 wait was 3.7 s with none, 4.7 s with 1 and 5.4 s with 2. At the present
/// half-life 1 is no worse than none, and better for long runs.
constexpr int redraws = 1;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

Tier optionsOf(const std::vector<RouteOption> &options, RouteTier tier)
{
    Tier found;
    for (const RouteOption &option : options) {
        if (option.tier == tier)
            found.push_back(&option);
    }
    return found;
}

double meanLoad(const Tier &tier)
{
    double work = 0;
    double capacity = 0;
    for (const RouteOption *option : tier) {
        work += option->load * option->capacity;
        capacity += option->capacity;
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

RouteChoice choiceOf(const RouteOption &option, double score, const char *rule)
{
    char load[32];
    std::snprintf(load, sizeof load, "%.2f", option.load);
    std::string reason = std::string(rule) + ", " + routeTierName(option.tier) + ", load " + load
        + " of which own work " + std::to_string(option.state.ownInFlight) + "/"
        + std::to_string(option.state.capacity) + ", " + reportText(option.state);
    if (option.hinted)
        reason += ", prefix hint";
    return RouteChoice {option.state.info->id, option.state.info->address, std::move(reason),
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
    const auto options = optionsFor(request, now);
    const RouteOption *best = nullptr;
    const char *rule = "two choices";
    for (const RouteTier tier : routeTiers) {
        const Tier near = optionsOf(options, tier);
        if (near.empty())
            continue;
        const RouteOption *pick = bestOfTwo(near, request, random);
        if (best == nullptr || score(*pick, request) < score(*best, request))
            best = pick;
        // Leaving a zone or region costs latency and money, so farther servers are only looked at
        // when the nearer ones are full, and only taken when the queue costs more than the way.
        if (meanLoad(near) < m_settings.saturation)
            break;
        rule = "two choices, nearer servers saturated";
    }
    if (best == nullptr)
        return Error {ErrorCode::Unavailable,
                      "no backend server of service \"" + request.service + "\" takes new work"};
    return choiceOf(*best, score(*best, request), rule);
}

Result<RouteChoice> Router::chooseResume(const ResumeRequest &request, TimePoint now,
                                         RandomSource &random) const
{
    const auto options = optionsFor(request.route, now);
    if (options.empty())
        return Error {ErrorCode::Unavailable,
                      "no backend server of service \"" + request.route.service
                          + "\" can take over the generation"};
    std::vector<double> costs;
    costs.reserve(options.size());
    for (const RouteOption &option : options)
        costs.push_back(resumeCost(option, request));

    // After a wave of losses all entries see the same costs, so the least one would get all
    // resumes. Two choices among the near-best ones spread them.
    const double limit =
        *std::min_element(costs.begin(), costs.end()) * (1 + m_settings.resumeTolerance);
    std::vector<std::size_t> nearBest;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        if (costs[i] <= limit)
            nearBest.push_back(i);
    }
    const std::size_t first = nearBest[random.bounded(nearBest.size())];
    const std::size_t second = nearBest[random.bounded(nearBest.size())];
    const std::size_t chosen = costs[second] < costs[first] ? second : first;
    return choiceOf(options[chosen], costs[chosen], "least resume cost");
}

std::vector<RouteOption> Router::optionsFor(const RouteRequest &request, TimePoint now) const
{
    auto states = m_table.candidates(request.service, now);
    std::erase_if(states, [&](const ServerState &state) {
        return contains(request.excluded, state.info->id);
    });
    std::vector<std::string> hinted;
    if (request.prefixHash)
        hinted = m_hints.servers(*request.prefixHash, now);

    const double halfLife =
        std::chrono::duration<double>(request.meanRun).count() * m_settings.halfLifePerRun;
    const LoadEstimate estimate(states, halfLife, m_settings.assumedCapacity);
    std::vector<RouteOption> options;
    options.reserve(states.size());
    for (ServerState &state : states) {
        RouteOption option;
        option.tier = routeTierOf(*state.info, request);
        option.capacity = estimate.capacity(state);
        option.load = estimate.load(state);
        option.hinted = contains(hinted, state.info->id);
        option.state = std::move(state);
        options.push_back(std::move(option));
    }
    return options;
}

const RouteOption *Router::bestOfTwo(std::span<const RouteOption *const> from,
                                     const RouteRequest &request, RandomSource &random) const
{
    const auto better = [&](const RouteOption *left, const RouteOption *right) {
        return score(*right, request) < score(*left, request) ? right : left;
    };
    const std::size_t first = random.bounded(from.size());
    const RouteOption *best = from[first];
    for (int draw = 0; draw <= redraws && from.size() > 1; ++draw) {
        // Drawn without the first one: in a small tier a repeated draw would leave one choice.
        const std::size_t second = random.bounded(from.size() - 1);
        best = better(best, from[second < first ? second : second + 1]);
        if (best->load < m_settings.saturation)
            break;
    }
    // A hinted server joins the draw. Its discount is bounded, so that a popular prefix, or a wrong
    // hint, cannot pile work up on one server.
    for (const RouteOption *option : from) {
        if (option->hinted)
            best = better(best, option);
    }
    return best;
}

double Router::score(const RouteOption &option, const RouteRequest &request) const
{
    double value = option.load
        + valueForTier(option.tier,
                       {0, m_settings.zoneCost, m_settings.regionCost * request.weights.resource});
    if (option.hinted && option.load < m_settings.saturation)
        value -= m_settings.prefixDiscount;
    return value;
}

double Router::resumeCost(const RouteOption &option, const ResumeRequest &request) const
{
    const auto cached = option.hinted ? std::min(request.cachedTokens, request.inputTokens) : 0;
    const auto prefillTokens = static_cast<double>(request.inputTokens - cached);
    const double queuedPerSlot = std::max(0.0, option.load + 1 / option.capacity - 1);
    const double meanRunMs =
        std::chrono::duration<double, std::milli>(request.route.meanRun).count();
    // The prefill shares the engine with the work that runs there.
    const double prefillMs =
        prefillTokens * m_settings.prefillMsPerToken * (1 + std::min(1.0, option.load));
    const double expectedResumeMs =
        valueForTier(
            option.tier,
            {m_settings.zoneRoundTripMs, m_settings.regionRoundTripMs, m_settings.farRoundTripMs})
        + queuedPerSlot * meanRunMs + prefillMs;
    const double crossRegionBytes =
        option.tier == RouteTier::OtherRegion ? static_cast<double>(request.transferBytes) : 0;
    const CostWeights &weights = request.route.weights;
    return weights.latency * expectedResumeMs
        + weights.resource
        * (prefillTokens * m_settings.tokenCost + crossRegionBytes * m_settings.byteCost);
}

} // namespace foxtailring
