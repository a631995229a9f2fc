#pragma once

#include <cstddef>
#include <map>
#include <optional>

namespace foxtailring {

/// \brief Divides the idle connections to a server among processes by their demand.
///
/// A demand is the binary logarithm of a process's requests per second, from 0 to \a maxDemand;
/// none: not known. Processes that divide the same demands get shares that add up to the limit.
class IdleConnectionDivision
{
public:
    static constexpr int maxDemand = 16;
    /// Number of processes with each demand.
    using Counts = std::map<std::optional<int>, std::size_t>;

    /// \param others demands of the other processes
    /// \return share of the process with the demand \a own, in connections
    static double shareOf(std::optional<int> own, const Counts &others, double limit);
};

} // namespace foxtailring
