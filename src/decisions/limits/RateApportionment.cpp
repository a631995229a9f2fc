#include "foxtailring/decisions/limits/RateApportionment.h"

#include "foxtailring/decisions/placement/RendezvousHash.h"
#include "foxtailring/protocol/KeyHash.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace foxtailring {

namespace {

struct Part
{
    std::string_view id;
    std::uint32_t whole = 0;
    double remainder = 0;
    std::uint64_t rank = 0;
};

double totalDemand(std::span<const RateApportionment::Sharer> sharers)
{
    double sum = 0;
    for (const auto &sharer : sharers)
        sum += sharer.demand;
    return sum;
}

// Without any demand all processes count the same.
std::vector<Part> partsOf(std::uint32_t total, std::string_view key,
                          std::span<const RateApportionment::Sharer> sharers)
{
    const double sum = totalDemand(sharers);
    const std::uint64_t hashOfKey = keyHash(key);
    std::vector<Part> parts;
    parts.reserve(sharers.size());
    for (const auto &sharer : sharers) {
        const double fraction =
            sum > 0 ? sharer.demand / sum : 1.0 / static_cast<double>(sharers.size());
        const double exact = total * fraction;
        const double whole = std::floor(exact);
        parts.push_back({sharer.id, static_cast<std::uint32_t>(whole), exact - whole,
                         RendezvousHash::weight(hashOfKey, sharer.id)});
    }
    return parts;
}

} // namespace

std::uint32_t RateApportionment::shareOf(std::string_view id, std::uint32_t total,
                                         std::string_view key, std::span<const Sharer> sharers)
{
    std::vector<Part> parts = partsOf(total, key, sharers);
    std::uint32_t assigned = 0;
    for (const Part &part : parts)
        assigned += part.whole;
    std::sort(parts.begin(), parts.end(), [](const Part &a, const Part &b) {
        return a.remainder != b.remainder ? a.remainder > b.remainder : a.rank > b.rank;
    });
    const std::size_t left = total > assigned ? total - assigned : 0;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (parts[i].id == id)
            return parts[i].whole + (i < left ? 1 : 0);
    }
    return 0;
}

} // namespace foxtailring
