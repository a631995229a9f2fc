#include "AllocationCounter.h"
#include "CapacityBench.h"
#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/placement/PrefixHints.h"
#include "foxtailring/decisions/placement/Router.h"
#include "foxtailring/decisions/placement/SubsetSelector.h"
#include "foxtailring/decisions/servers/ServerTable.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace foxtailring::bench {

namespace {

constexpr double tableSizes[] = {50, 200, 800, 3200, 12000};
constexpr double serviceSizes[] = {8, 50, 100, 200, 400, 800};
constexpr std::size_t prefixesPerReport = 16;
/// Section 1.7, for one entry: servers it knows, servers it follows, candidates of one service.
constexpr double knownServers = 12000;
constexpr double followedOfService = 8;
constexpr double serversOfServiceAndRegion = 51;
constexpr std::size_t entriesOfRegion = 58;

std::vector<ListedServer> vmList(std::size_t count)
{
    std::vector<ListedServer> list;
    list.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const std::string number = std::to_string(i);
        list.push_back(ListedServer {ServerInfo {"vm-0123456789-" + number, "lector-esquemas",
                                                 "127.0.0.1:" + number, "region-1",
                                                 "zone-" + std::to_string(i % 3)},
                                     false});
    }
    return list;
}

LoadReport reportOf(const ServerInfo &info, std::uint64_t sequence)
{
    LoadReport report;
    report.serverId = info.id;
    report.service = info.service;
    report.incarnation = 1;
    report.sequence = sequence;
    report.running = static_cast<std::uint32_t>(sequence % 7);
    report.capacity = 8;
    for (std::size_t i = 0; i < prefixesPerReport; ++i)
        report.prefixHashes.push_back(sequence * prefixesPerReport + i);
    return report;
}

struct Measured
{
    explicit Measured(std::size_t count)
        : list(vmList(count))
    {
        const std::size_t before = allocatedBytes();
        table = std::make_unique<ServerTable>();
        table->applyVmList(list, now);
        for (const ListedServer &listed : list)
            table->applyReport(reportOf(listed.info, ++sequence), now);
        bytes = static_cast<double>(allocatedBytes() - before);
    }

    double applyList()
    {
        return cpuMicroseconds([&] { table->applyVmList(list, now); });
    }
    double applyReport()
    {
        LoadReport report = reportOf(list[list.size() / 2].info, 1);
        return cpuMicroseconds([&] {
            report.sequence = ++sequence;
            report.prefixHashes[0] = sequence;
            table->applyReport(report, now);
        });
    }
    double candidates()
    {
        return cpuMicroseconds([&] { sink += table->candidates("lector-esquemas", now).size(); });
    }
    double choose()
    {
        const PrefixHints hints;
        const Router router(*table, hints, Router::Settings {});
        RandomSource random(1);
        RouteRequest request;
        request.service = "lector-esquemas";
        request.region = "region-1";
        request.zone = "zone-1";
        return cpuMicroseconds(
            [&] { sink += router.choose(request, now, random).value().serverId.size(); });
    }

    const TimePoint now = TimePoint {} + std::chrono::hours(1);
    std::vector<ListedServer> list;
    std::unique_ptr<ServerTable> table;
    std::uint64_t sequence = 0;
    double bytes = 0;
    std::size_t sink = 0; ///< keeps results in use
};

} // namespace

std::vector<Slope> measureServers()
{
    std::vector<Slope> slopes = {
        {"ServerTable: memory", "bytes", "servers", {}, {}, knownServers},
        {"ServerTable: applyVmList", "us", "servers", {}, {}, knownServers},
        {"ServerTable: applyReport", "us", "servers", {}, {}, knownServers},
        {"ServerTable: candidates", "us", "followed servers", {}, {}, followedOfService},
        {"Router: choose", "us", "followed servers", {}, {}, followedOfService},
    };
    for (const double size : tableSizes) {
        Measured measured(static_cast<std::size_t>(size));
        slopes[0].add(size, measured.bytes);
        slopes[1].add(size, measured.applyList());
        slopes[2].add(size, measured.applyReport());
    }
    for (const double size : serviceSizes) {
        Measured measured(static_cast<std::size_t>(size));
        slopes[3].add(size, measured.candidates());
        slopes[4].add(size, measured.choose());
    }
    return slopes;
}

std::vector<Slope> measureSubsets()
{
    Slope slope {
        "SubsetSelector: select, 58 entries", "us", "servers", {}, {}, serversOfServiceAndRegion};
    std::vector<std::string> entries;
    entries.reserve(entriesOfRegion);
    for (std::size_t i = 0; i < entriesOfRegion; ++i)
        entries.push_back("entry-" + std::to_string(i));
    const SubsetSelector selector(SubsetSelector::Settings {});
    for (const double size : serviceSizes) {
        std::vector<std::string> servers;
        for (const ListedServer &listed : vmList(static_cast<std::size_t>(size)))
            servers.push_back(listed.info.id);
        std::size_t sink = 0;
        const auto select = [&] {
            sink +=
                selector.select("lector-esquemas", "region-1", "entry-7", entries, servers).size();
        };
        slope.add(size, cpuMicroseconds(select));
    }
    return {slope};
}

} // namespace foxtailring::bench
