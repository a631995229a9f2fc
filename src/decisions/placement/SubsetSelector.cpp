#include "foxtailring/decisions/placement/SubsetSelector.h"

#include "foxtailring/decisions/placement/RendezvousHash.h"
#include "foxtailring/protocol/KeyHash.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace foxtailring {

namespace {

/// Servers that an entry considers first, for each place in its subset. These are nearly always
/// enough; considering all pairs would sort 4 million for 350 entries and 12,000 servers.
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

/// Pairs entries with servers by descending weight while both have room.
///
/// Both sides rank pairs by the same weight, so this is the unique stable matching: adding or
/// removing a name moves only pairs that rank below its own.
class Matching
{
public:
    Matching(std::string_view key, const std::vector<std::string> &entries,
             const std::vector<std::string> &servers, std::size_t subsetSize)
        : m_servers(servers)
        , m_subsetSize(subsetSize)
        , m_entryCounts(servers.size())
        , m_subsets(entries.size())
    {
        for (const std::string &entry : entries)
            m_entryHashes.push_back(keyHash(entry, keyHash(key)));
    }

    /// Fills the subsets as far as possible with at most \a maxEntries entries per server.
    void fill(std::size_t maxEntries)
    {
        pairBestCandidates(m_subsetSize * candidatesPerSlot, maxEntries);
        pairBestCandidates(m_servers.size(), maxEntries);
    }

    std::vector<std::vector<std::uint32_t>> takeSubsets() { return std::move(m_subsets); }

private:
    void pairBestCandidates(std::size_t candidateCount, std::size_t maxEntries)
    {
        std::vector<Pair> pairs;
        for (std::uint32_t entry = 0; entry < m_entryHashes.size(); ++entry) {
            if (m_subsets[entry].size() < m_subsetSize)
                appendBestPairs(entry, candidateCount, pairs);
        }
        std::sort(pairs.begin(), pairs.end(), pairRanksBefore);
        for (const Pair &pair : pairs)
            pairIfRoom(pair, maxEntries);
    }

    void appendBestPairs(std::uint32_t entry, std::size_t count, std::vector<Pair> &pairs) const
    {
        std::vector<Pair> entryPairs;
        entryPairs.reserve(m_servers.size());
        for (std::uint32_t server = 0; server < m_servers.size(); ++server)
            entryPairs.push_back(Pair {
                RendezvousHash::weight(m_entryHashes[entry], m_servers[server]), entry, server});
        if (count < entryPairs.size()) {
            std::nth_element(entryPairs.begin(),
                             entryPairs.begin() + static_cast<std::ptrdiff_t>(count),
                             entryPairs.end(), pairRanksBefore);
            entryPairs.resize(count);
        }
        pairs.insert(pairs.end(), entryPairs.begin(), entryPairs.end());
    }

    void pairIfRoom(const Pair &pair, std::size_t maxEntries)
    {
        auto &subset = m_subsets[pair.entry];
        if (subset.size() >= m_subsetSize || m_entryCounts[pair.server] >= maxEntries)
            return;
        if (std::find(subset.begin(), subset.end(), pair.server) != subset.end())
            return;
        subset.push_back(pair.server);
        ++m_entryCounts[pair.server];
    }

    const std::vector<std::string> &m_servers;
    const std::size_t m_subsetSize;
    std::vector<std::uint64_t> m_entryHashes;
    std::vector<std::size_t> m_entryCounts;
    std::vector<std::vector<std::uint32_t>> m_subsets;
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
    // Sorted, so that the result does not depend on the order of the lists.
    const auto serverNames = sorted(servers);
    const auto entryNames = sorted(entries);
    const std::string key = std::string(service) + '\n' + std::string(region);
    const std::size_t serversPerEntry = subsetSize(entries.size(), servers.size());
    const double mean = servers.empty() ? 0
                                        : static_cast<double>(entries.size() * serversPerEntry)
            / static_cast<double>(servers.size());
    Matching matching(key, entryNames, serverNames, serversPerEntry);
    // The first pass gives every server its minimum number of entries, the second fills the subsets
    // up to the maximum. Rounding and these limits can leave a subset short; the last pass fills it
    // without a limit.
    matching.fill(static_cast<std::size_t>(std::floor(mean / m_settings.maxImbalance)));
    matching.fill(static_cast<std::size_t>(std::ceil(mean * m_settings.maxImbalance)));
    matching.fill(entries.size());
    const auto chosen = matching.takeSubsets();

    std::vector<std::vector<std::string>> subsets;
    subsets.reserve(entries.size());
    for (const std::string &entry : entries) {
        const auto position = std::lower_bound(entryNames.begin(), entryNames.end(), entry);
        std::vector<std::string> names;
        for (const std::uint32_t server :
             chosen[static_cast<std::size_t>(position - entryNames.begin())])
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
