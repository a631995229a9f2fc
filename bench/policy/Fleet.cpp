#include "Fleet.h"

#include <cmath>
#include <cstdlib>

namespace foxtailring::bench {

namespace {

/// Time from the making of a report to its use: engine's own lag and the way.
constexpr Duration reportDelay = std::chrono::milliseconds(100);

} // namespace

Duration secondsDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Fleet::Fleet(const Shape &shape, std::uint64_t seed)
    : random(seed)
    , m_meanRun(shape.meanRun)
{
    std::vector<ListedServer> list;
    for (std::size_t i = 0; i < shape.servers; ++i) {
        const ServerInfo info {std::to_string(i), "reader", "127.0.0.1:" + std::to_string(i + 1),
                               "region", "zone-" + std::to_string(i % shape.zones)};
        list.push_back(ListedServer {info, false});
        servers.push_back(std::make_unique<SimServer>(loop, info, shape.slots));
    }
    for (std::size_t i = 0; i < shape.entries; ++i) {
        entries.push_back(std::make_unique<FleetEntry>(shape.router));
        if (shape.entriesAreInZones)
            entries.back()->zone = "zone-" + std::to_string(i % shape.zones);
        entries.back()->table.applyVmList(list, loop.now());
    }
    for (const auto &server : servers)
        startReports(*server, shape.reportInterval);
}

SimServer &Fleet::server(const std::string &id)
{
    return *servers[std::strtoul(id.c_str(), nullptr, 10)];
}

RouteRequest Fleet::request(const FleetEntry &entry) const
{
    RouteRequest made;
    made.service = "reader";
    made.region = "region";
    made.zone = entry.zone;
    made.meanRunTime = m_meanRun;
    return made;
}

void Fleet::arrivals(double perSecond, TimePoint from, TimePoint until,
                     const std::function<void()> &arrive)
{
    loop.at(from, [this, perSecond, until, arrive] { nextArrival(perSecond, until, arrive); });
}

Duration Fleet::exponential(double meanSeconds)
{
    return secondsDuration(-std::log(1 - random.generateDouble()) * meanSeconds);
}

void Fleet::startReports(SimServer &server, Duration interval)
{
    const Duration offset = secondsDuration(random.generateDouble() * toSeconds(interval));
    loop.every(interval, offset, [this, &server] {
        if (!server.isAlive())
            return;
        loop.after(reportDelay, [this, report = server.report()] {
            for (const auto &entry : entries)
                entry->table.applyReport(report, loop.now());
        });
    });
}

void Fleet::nextArrival(double perSecond, TimePoint until, const std::function<void()> &arrive)
{
    const TimePoint next = loop.now() + exponential(1 / perSecond);
    if (next >= until)
        return;
    loop.at(next, [this, perSecond, until, arrive] {
        arrive();
        nextArrival(perSecond, until, arrive);
    });
}

} // namespace foxtailring::bench
