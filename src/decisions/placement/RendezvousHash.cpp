#include "foxtailring/decisions/placement/RendezvousHash.h"

#include "foxtailring/protocol/KeyHash.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

using Weighted = std::pair<std::uint64_t, const std::string *>;

bool ranksBefore(const Weighted &left, const Weighted &right)
{
    if (left.first != right.first)
        return left.first > right.first;
    return *left.second < *right.second;
}

} // namespace

std::vector<std::string> RendezvousHash::rank(std::string_view key,
                                              std::span<const std::string> names, std::size_t count)
{
    const std::uint64_t hashOfKey = keyHash(key);
    std::vector<Weighted> weighted;
    weighted.reserve(names.size());
    for (const std::string &name : names)
        weighted.emplace_back(weight(hashOfKey, name), &name);

    const std::size_t kept = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept),
                      weighted.end(), ranksBefore);
    std::vector<std::string> ranked;
    ranked.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        ranked.push_back(*weighted[i].second);
    return ranked;
}

std::vector<std::string> RendezvousHash::rank(std::string_view key,
                                              std::span<const std::string> names)
{
    return rank(key, names, names.size());
}

std::string RendezvousHash::first(std::string_view key, std::span<const std::string> names)
{
    const auto ranked = rank(key, names, 1);
    return ranked.empty() ? std::string() : ranked.front();
}

std::uint64_t RendezvousHash::weight(std::uint64_t hashOfKey, std::string_view name)
{
    return keyHash(name, hashOfKey);
}

} // namespace foxtailring
