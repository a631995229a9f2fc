#include "Fleet.h"
#include "Quantile.h"
#include "Report.h"
#include "Scenarios.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>

namespace foxtailring::bench {

namespace {

using namespace std::chrono_literals;

constexpr double utilization = 0.85;
constexpr double warmUpRuns = 15;
constexpr double measuredRuns = 70;

using Policy = std::function<std::string(Fleet &, FleetEntry &)>;

double reportedLoad(const ServerState &state)
{
    return static_cast<double>(state.running) + state.waiting;
}

std::string randomChoice(Fleet &fleet, FleetEntry &entry)
{
    const auto states = entry.table.candidates("reader", fleet.loop.now());
    return states[fleet.random.bounded(states.size())].info->id;
}

std::string leastReported(Fleet &fleet, FleetEntry &entry)
{
    auto states = entry.table.candidates("reader", fleet.loop.now());
    std::rotate(states.begin(),
                states.begin() + static_cast<std::ptrdiff_t>(fleet.random.bounded(states.size())),
                states.end());
    return std::min_element(states.begin(), states.end(),
                            [](const ServerState &left, const ServerState &right) {
                                return reportedLoad(left) < reportedLoad(right);
                            })
        ->info->id;
}

std::string twoReported(Fleet &fleet, FleetEntry &entry)
{
    const auto states = entry.table.candidates("reader", fleet.loop.now());
    const ServerState &first = states[fleet.random.bounded(states.size())];
    const ServerState &second = states[fleet.random.bounded(states.size())];
    return (reportedLoad(second) < reportedLoad(first) ? second : first).info->id;
}

std::string routed(Fleet &fleet, FleetEntry &entry)
{
    return entry.router.choose(fleet.request(entry), fleet.loop.now(), fleet.random)
        .value()
        .serverId;
}

void runOne(Report &report, const std::string &scenario, const std::string &variant,
            const Fleet::Shape &shape, const Policy &policy, std::uint64_t seed)
{
    Fleet fleet(shape, seed);
    const double meanRunSeconds = toSeconds(shape.meanRun);
    const TimePoint start = fleet.loop.now();
    const TimePoint measureFrom = start + secondsDuration(warmUpRuns * meanRunSeconds);
    const TimePoint end = measureFrom + secondsDuration(measuredRuns * meanRunSeconds);
    const double rate =
        utilization * static_cast<double>(shape.servers) * shape.slots / meanRunSeconds;
    std::vector<double> waits;
    fleet.arrivals(rate, start, end, [&] {
        FleetEntry &entry = fleet.randomEntry();
        const std::string id = policy(fleet, entry);
        entry.table.startWork(id);
        const TimePoint submitted = fleet.loop.now();
        Job job;
        job.run = fleet.exponential(meanRunSeconds);
        job.firstToken = [&, submitted] {
            if (submitted >= measureFrom)
                waits.push_back(toSeconds(fleet.loop.now() - submitted));
        };
        job.finished = [&entry, id] { entry.table.endWork(id); };
        fleet.server(id).submit(std::move(job));
    });
    fleet.loop.runUntil(end + secondsDuration(20 * meanRunSeconds));

    std::size_t peak = 0;
    for (const auto &server : fleet.servers)
        peak = std::max(peak, server->peakWaiting());
    report.add(scenario, variant, "p50 wait ms", quantile(waits, 0.5) * 1000);
    report.add(scenario, variant, "p99 wait ms", quantile(waits, 0.99) * 1000);
    report.add(scenario, variant, "peak queue", static_cast<double>(peak));
}

} // namespace

void runRouting(Report &report, std::uint64_t seed)
{
    for (const double meanRunSeconds : {1.5, 20.0}) {
        for (const auto lag : {1s, 5s}) {
            Fleet::Shape shape;
            shape.reportInterval = lag;
            shape.meanRun = secondsDuration(meanRunSeconds);
            const std::string scenario =
                "routing: 20 entries, 40 servers of 8 slots, load 0.85, runs of "
                + std::to_string(meanRunSeconds).substr(0, 4) + " s, report lag "
                + std::to_string(lag.count()) + " s";
            runOne(report, scenario, "random", shape, randomChoice, seed);
            runOne(report, scenario, "least reported load", shape, leastReported, seed);
            runOne(report, scenario, "two choices, reported load", shape, twoReported, seed);
            Fleet::Shape withoutDiscount = shape;
            withoutDiscount.router.reportHalfLifeInRunTimes = 1e6;
            runOne(report, scenario, "Router without age discount", withoutDiscount, routed, seed);
            runOne(report, scenario, "Router", shape, routed, seed);
        }
    }
}

} // namespace foxtailring::bench
