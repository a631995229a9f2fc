#pragma once

#include "foxtailring/decisions/ServerState.h"

#include <span>

namespace foxtailring {

/// \brief Expected load of servers from reports that lag.
///
/// A server's load is this entry's own work, known exactly, plus the work of others, taken from its
/// report. As the report ages, the work of others fades into the mean over all servers, so that
/// entries do not all follow one old report to the same idle server.
class LoadEstimate
{
public:
    LoadEstimate(std::span<const ServerState> states, double halfLifeSeconds,
                 double assumedCapacity);

    /// \brief Expected work per unit of capacity; 1: just busy.
    double load(const ServerState &state) const;
    double capacity(const ServerState &state) const;

private:
    double reportedByOthers(const ServerState &state) const;

    double m_halfLifeSeconds;
    double m_assumedCapacity;
    double m_meanOfOthers = 0; ///< per unit of capacity
};

} // namespace foxtailring
