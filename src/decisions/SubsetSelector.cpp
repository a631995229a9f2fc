#include "foxtailring/decisions/SubsetSelector.h"

#include "foxtailring/decisions/RendezvousHash.h"
#include "foxtailring/protocol/KeyHash.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace foxtailring {

namespace {

/// An entry normally gets its servers from this many times its share of best-ranked ones; looking
/// at all pairs would sort 4 million of them for 350 entries and 12,000 servers.
constexpr std::size_t candidatesPerSlot = 4;

struct Pair
{
    std::uint64_t weight = 0;
    std::uint32_t entry = 0;
    std::uint32_t server = 0;
};

bool pairRanksBefore(const Pair &left, const Pair &right)
{
    if (left.weight != right.weight)
        return left.weight > right.weight;
    return std::pair(left.entry, left.server) < std::pair(right.entry, right.server);
}

std::vector<std::string> sorted(std::span<const std::string> names)
{
    std::vector<std::string> copy(names.begin(), names.end());
    std::sort(copy.begin(), copy.end());
    return copy;
}

/// Pairs entries with servers, best weight first, while both have room.
///
/// Both sides rank by the same weight, so this is their only stable matching: a name that comes or
/// goes moves only the pairs that ranked below its own.
class Matching
{
public:
    Matching(std::string_view key, const std::vector<std::string> &entries,
             const std::vector<std::string> &servers, std::size_t size)
        : m_servers(servers)
        , m_size(size)
        , m_entryCounts(servers.size())
        , m_chosen(entries.size())
    {
        for (const std::string &entry : entries)
            m_seeds.push_back(keyHash(entry, keyHash(key)));
    }

    /// Fills the entries while no server has more than \a maxEntries followers.
    void fill(std::size_t maxEntries)
    {
        pairBest(m_size * candidatesPerSlot, maxEntries);
        pairBest(m_servers.size(), maxEntries);
    }

    std::vector<std::vector<std::uint32_t>> takeChosen() { return std::move(m_chosen); }

private:
    void pairBest(std::size_t ranked, std::size_t maxEntries)
    {
        std::vector<Pair> pairs;
        for (std::uint32_t entry = 0; entry < m_seeds.size(); ++entry) {
            if (m_chosen[entry].size() < m_size)
                appendBest(entry, ranked, pairs);
        }
        std::sort(pairs.begin(), pairs.end(), pairRanksBefore);
        for (const Pair &pair : pairs)
            pairIfRoom(pair, maxEntries);
    }

    void appendBest(std::uint32_t entry, std::size_t count, std::vector<Pair> &pairs) const
    {
        std::vector<Pair> own;
        own.reserve(m_servers.size());
        for (std::uint32_t server = 0; server < m_servers.size(); ++server)
            own.push_back(
                Pair {RendezvousHash::weight(m_seeds[entry], m_servers[server]), entry, server});
        if (count < own.size()) {
            std::nth_element(own.begin(), own.begin() + static_cast<std::ptrdiff_t>(count),
                             own.end(), pairRanksBefore);
            own.resize(count);
        }
        pairs.insert(pairs.end(), own.begin(), own.end());
    }

    void pairIfRoom(const Pair &pair, std::size_t maxEntries)
    {
        auto &chosen = m_chosen[pair.entry];
        if (chosen.size() >= m_size || m_entryCounts[pair.server] >= maxEntries)
            return;
        if (std::find(chosen.begin(), chosen.end(), pair.server) != chosen.end())
            return;
        chosen.push_back(pair.server);
        ++m_entryCounts[pair.server];
    }

    const std::vector<std::string> &m_servers;
    const std::size_t m_size;
    std::vector<std::uint64_t> m_seeds;
    std::vector<std::size_t> m_entryCounts;
    std::vector<std::vector<std::uint32_t>> m_chosen;
};

} // namespace

SubsetSelector::SubsetSelector(Settings settings)
    : m_settings(settings)
{
}

std::vector<std::string> SubsetSelector::select(std::string_view service, std::string_view region,
                                                std::string_view entry,
                                                std::span<const std::string> entries,
                                                std::span<const std::string> servers) const
{
    std::vector<std::string> all(entries.begin(), entries.end());
    auto own = std::find(all.begin(), all.end(), entry);
    if (own == all.end())
        own = all.emplace(all.end(), entry);
    const auto index = static_cast<std::size_t>(own - all.begin());
    return assign(service, region, all, servers)[index];
}

std::vector<std::vector<std::string>>
SubsetSelector::assign(std::string_view service, std::string_view region,
                       std::span<const std::string> entries,
                       std::span<const std::string> servers) const
{
    // Sorted, so that the order of the lists does not matter.
    const auto serverNames = sorted(servers);
    const auto entryNames = sorted(entries);
    const std::string key = std::string(service) + '\n' + std::string(region);
    const std::size_t size = subsetSize(entries.size(), servers.size());
    const double mean = servers.empty()
        ? 0
        : static_cast<double>(entries.size() * size) / static_cast<double>(servers.size());
    Matching matching(key, entryNames, serverNames, size);
    // The first pass gives every server its least number of followers, the second fills the
    // entries. Rounding and the caps can leave an entry short, which then takes its best servers
    // anyway.
    matching.fill(static_cast<std::size_t>(std::floor(mean / m_settings.maxImbalance)));
    matching.fill(static_cast<std::size_t>(std::ceil(mean * m_settings.maxImbalance)));
    matching.fill(entries.size());
    const auto chosen = matching.takeChosen();

    std::vector<std::vector<std::string>> subsets;
    subsets.reserve(entries.size());
    for (const std::string &entry : entries) {
        const auto at = std::lower_bound(entryNames.begin(), entryNames.end(), entry);
        std::vector<std::string> names;
        for (const std::uint32_t server : chosen[static_cast<std::size_t>(at - entryNames.begin())])
            names.push_back(serverNames[server]);
        std::sort(names.begin(), names.end());
        subsets.push_back(std::move(names));
    }
    return subsets;
}

std::size_t SubsetSelector::subsetSize(std::size_t entryCount, std::size_t serverCount) const
{
    const std::size_t forCoverage =
        (serverCount * m_settings.minEntriesPerServer + entryCount - 1) / entryCount;
    return std::min(serverCount, std::max(m_settings.minSubsetSize, forCoverage));
}

} // namespace foxtailring
