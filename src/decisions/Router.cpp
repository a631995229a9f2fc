#include "foxtailring/decisions/Router.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/PrefixHints.h"
#include "foxtailring/decisions/ServerTable.h"

#include "LoadEstimate.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace foxtailring {

namespace {

enum class Tier : std::uint8_t { SameZone, SameRegion, OtherRegion };
constexpr std::size_t tierCount = 3;

const char *tierName(Tier tier)
{
    switch (tier) {
    case Tier::SameZone:
        return "same zone";
    case Tier::SameRegion:
        return "same region";
    case Tier::OtherRegion:
        break;
    }
    return "other region";
}

Tier tierOf(const ServerInfo &info, const RouteRequest &request)
{
    if (info.region != request.region)
        return Tier::OtherRegion;
    return info.availabilityZone == request.zone ? Tier::SameZone : Tier::SameRegion;
}

struct Option
{
    const ServerState *state = nullptr;
    Tier tier = Tier::SameZone;
    double load = 0; ///< expected work per unit of capacity
    bool hinted = false;
};

std::string describe(const Option &option, const char *how)
{
    char text[160];
    std::snprintf(text, sizeof text, "%s, %s, load %.2f, own %u, report %s%.0f ms%s", how,
                  tierName(option.tier), option.load, option.state->ownInFlight,
                  option.state->reportAge == Duration::max() ? "missing " : "age ",
                  option.state->reportAge == Duration::max()
                      ? 0.0
                      : std::chrono::duration<double, std::milli>(option.state->reportAge).count(),
                  option.hinted ? ", prefix hint" : "");
    return text;
}

RouteChoice choiceOf(const Option &option, double score, const char *how)
{
    return RouteChoice {option.state->info->id, option.state->info->address, describe(option, how),
                        score};
}

} // namespace

/// Candidates of one request with their expected loads.
struct Router::Options
{
    std::vector<ServerState> states;
    std::vector<Option> all;

    std::vector<const Option *> ofTier(Tier tier) const
    {
        std::vector<const Option *> found;
        for (const Option &option : all) {
            if (option.tier == tier)
                found.push_back(&option);
        }
        return found;
    }
};

Router::Router(const ServerTable &table, const PrefixHints &hints, Settings settings)
    : m_table(table)
    , m_hints(hints)
    , m_settings(settings)
{
}

Router::Options Router::optionsFor(const RouteRequest &request, TimePoint now) const
{
    Options options;
    options.states = m_table.candidates(request.service, now);
    std::erase_if(options.states, [&](const ServerState &state) {
        return std::find(request.excluded.begin(), request.excluded.end(), state.info->id)
            != request.excluded.end();
    });
    std::vector<std::string> hinted;
    if (request.prefixHash)
        hinted = m_hints.servers(*request.prefixHash, now);
    const LoadEstimate estimate(options.states, m_settings.reportHalfLife,
                                m_settings.assumedCapacity);
    options.all.reserve(options.states.size());
    for (const ServerState &state : options.states) {
        const bool isHinted =
            std::find(hinted.begin(), hinted.end(), state.info->id) != hinted.end();
        options.all.push_back(
            Option {&state, tierOf(*state.info, request), estimate.load(state), isHinted});
    }
    return options;
}

Result<RouteChoice> Router::choose(const RouteRequest &request, TimePoint now,
                                   RandomSource &random) const
{
    const Options options = optionsFor(request, now);
    if (options.all.empty())
        return Error {ErrorCode::Unavailable,
                      "no backend server of service \"" + request.service + "\" takes new work"};
    const auto score = [&](const Option &option) {
        const double costs[tierCount] = {0, m_settings.zoneCost,
                                         m_settings.regionCost * request.weights.resource};
        double value = option.load + costs[static_cast<std::size_t>(option.tier)];
        if (option.hinted && option.load < m_settings.saturation)
            value -= m_settings.prefixDiscount;
        return value;
    };
    const auto bestOfTwo = [&](const std::vector<const Option *> &from) {
        const Option *best = from[random.below(from.size())];
        if (from.size() > 1) {
            const Option *second = from[random.below(from.size() - 1)];
            if (second == best)
                second = from.back();
            if (score(*second) < score(*best))
                best = second;
        }
        for (const Option *option : from) {
            if (option->hinted && score(*option) < score(*best))
                best = option;
        }
        return best;
    };
    for (const Tier tier : {Tier::SameZone, Tier::SameRegion, Tier::OtherRegion}) {
        std::vector<const Option *> near = options.ofTier(tier);
        if (near.empty() || isSaturated(near.size(), [&](std::size_t i) { return near[i]->load; }))
            continue;
        const Option *best = bestOfTwo(near);
        return choiceOf(*best, score(*best), "two choices");
    }
    std::vector<const Option *> everything;
    for (const Option &option : options.all)
        everything.push_back(&option);
    const Option *best = bestOfTwo(everything);
    return choiceOf(*best, score(*best), "two choices, all saturated");
}

bool Router::isSaturated(std::size_t count, const std::function<double(std::size_t)> &load) const
{
    double total = 0;
    for (std::size_t i = 0; i < count; ++i)
        total += load(i);
    return total >= m_settings.saturation * static_cast<double>(count);
}

Result<RouteChoice> Router::chooseResume(const ResumeRequest &request, TimePoint now,
                                         RandomSource &random) const
{
    const Options options = optionsFor(request.route, now);
    if (options.all.empty())
        return Error {ErrorCode::Unavailable,
                      "no backend server of service \"" + request.route.service
                          + "\" can take over the generation"};
    std::vector<double> costs;
    for (const Option &option : options.all) {
        const double capacity =
            option.state->capacity > 0 ? option.state->capacity : m_settings.assumedCapacity;
        const double roundTrips[tierCount] = {
            m_settings.zoneRoundTripMs, m_settings.regionRoundTripMs, m_settings.farRoundTripMs};
        const std::uint64_t cached =
            option.hinted ? std::min(request.cachedTokens, request.inputTokens) : 0;
        const auto prefillTokens = static_cast<double>(request.inputTokens - cached);
        // Work above the capacity has to end before this one starts.
        const double queued = std::max(0.0, (option.load - 1) * capacity + 1);
        const double expectedResumeMs = roundTrips[static_cast<std::size_t>(option.tier)]
            + queued / capacity * m_settings.queueMsPerWork
            + prefillTokens * m_settings.prefillMsPerToken;
        const double farBytes =
            option.tier == Tier::OtherRegion ? static_cast<double>(request.transferBytes) : 0;
        costs.push_back(
            request.route.weights.latency * expectedResumeMs
            + request.route.weights.resource
                * (prefillTokens * m_settings.tokenCost + farBytes * m_settings.byteCost));
    }
    const double least = *std::min_element(costs.begin(), costs.end());
    // After a wave of losses all entries see the same costs; the near-best servers share the load.
    std::vector<std::size_t> best;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        if (costs[i] <= least * (1 + m_settings.resumeTolerance))
            best.push_back(i);
    }
    const std::size_t chosen = best[random.below(best.size())];
    return choiceOf(options.all[chosen], costs[chosen], "least resume cost");
}

} // namespace foxtailring
