#pragma once

#include "foxtailring/decisions/rollouts/TimeHistogram.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace foxtailring {

/// \brief Ends the aspect of a route under which the pace of its events is counted.
constexpr std::string_view paceSuffix = "#pace";

/// \brief Which answers a row of evidence counts.
struct VersionRowKey
{
    std::string aspect; ///< a route, and whether its answers or the pace of its events are timed
    bool isNew = false; ///< answers of the version that the order names
    std::string zone;   ///< availability zone of the server; empty for the old versions

    bool operator==(const VersionRowKey &) const = default;
    bool operator<(const VersionRowKey &other) const
    {
        return std::tie(aspect, isNew, zone) < std::tie(other.aspect, other.isNew, other.zone);
    }
};

/// \brief Counts of the answers of one kind.
struct VersionRow
{
    std::uint64_t failures = 0;
    TimeHistogram times; ///< of answers without a failure
    TimeHistogram open;  ///< ages of requests without an answer so far

    bool operator==(const VersionRow &) const = default;
    VersionRow &operator+=(const VersionRow &other)
    {
        failures += other.failures;
        times.merge(other.times);
        open.merge(other.open);
        return *this;
    }
};

} // namespace foxtailring
