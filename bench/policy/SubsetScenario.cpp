#include "foxtailring/decisions/placement/SubsetSelector.h"
#include "Report.h"
#include "Scenarios.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace foxtailring::bench {

namespace {

using Names = std::vector<std::string>;
using Subsets = std::vector<Names>;

Names names(const std::string &prefix, std::size_t count, std::uint64_t seed)
{
    Names made;
    made.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        made.push_back(prefix + std::to_string(seed) + "-" + std::to_string(i));
    return made;
}

/// Every hundredth name, at least one, is replaced by a new one.
Names replaced(Names list)
{
    for (std::size_t i = 0; i < list.size(); i += 100)
        list[i] += "-new";
    return list;
}

double movedPercent(const Subsets &before, const Subsets &after)
{
    std::size_t moved = 0;
    std::size_t links = 0;
    for (std::size_t i = 0; i < before.size(); ++i) {
        links += after[i].size();
        for (const std::string &server : after[i])
            moved += std::binary_search(before[i].begin(), before[i].end(), server) ? 0 : 1;
    }
    return 100.0 * static_cast<double>(moved) / static_cast<double>(links);
}

void runOne(Report &report, const std::string &scenario, double slack, const Names &entries,
            const Names &servers)
{
    SubsetSelector::Settings settings;
    settings.maxImbalance = slack;
    const SubsetSelector selector(settings);
    const Subsets subsets = selector.assign("s", "r", entries, servers);
    std::map<std::string, double> followers;
    for (const Names &subset : subsets) {
        for (const std::string &server : subset)
            ++followers[server];
    }
    double links = 0;
    double most = 0;
    double least = followers.size() < servers.size() ? 0 : 1e9;
    for (const auto &[server, count] : followers) {
        links += count;
        most = std::max(most, count);
        least = std::min(least, count);
    }
    const double mean = links / static_cast<double>(servers.size());
    const std::string variant =
        slack > 100 ? "plain rendezvous hashing" : "slack " + std::to_string(slack).substr(0, 4);
    report.add(scenario, variant, "mean followers", mean);
    report.add(scenario, variant, "max/mean", most / mean);
    report.add(scenario, variant, "min/mean", least / mean);
    report.add(scenario, variant, "% moved, 1% servers new",
               movedPercent(subsets, selector.assign("s", "r", entries, replaced(servers))));
    // The lists of replaced entries are new; only those of the others count as moved.
    Names newEntries = replaced(entries);
    Subsets after = selector.assign("s", "r", newEntries, servers);
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (newEntries[i] != entries[i])
            after[i] = subsets[i];
    }
    report.add(scenario, variant, "% moved, 1% entries new", movedPercent(subsets, after));
}

} // namespace

void runSubsets(Report &report, std::uint64_t seed)
{
    constexpr double uncapped = 1000;
    for (const double slack : {uncapped, 1.5, 1.25, 1.1, 1.0}) {
        runOne(report, "subsets: 58 entries, 51 servers (one model in one of 6 regions)", slack,
               names("entry-", 58, seed), names("server-", 51, seed));
        runOne(report, "subsets: 350 entries, 12000 servers (one service everywhere)", slack,
               names("entry-", 350, seed), names("server-", 12000, seed));
    }
}

} // namespace foxtailring::bench
