#pragma once

#include "foxtailring/decisions/servers/ServerState.h"

#include <span>

namespace foxtailring {

/// \brief Estimates the load of servers from reports that lag.
///
/// A server's load is the work of this entry, known exactly, plus the work of other entries from
/// the server's last report. As the report ages, that part decays towards the mean over all
/// servers. Otherwise all entries would send to the same server that an old report shows as idle.
class LoadEstimate
{
public:
    LoadEstimate(std::span<const ServerState> states, double halfLifeSeconds,
                 double assumedCapacity);

    /// \brief Expected work per unit of capacity; 1 when all slots are busy and none waits.
    double load(const ServerState &state) const;
    /// \brief The reported capacity, or the assumed one if none was reported.
    double capacity(const ServerState &state) const;

private:
    double reportedByOthers(const ServerState &state) const;

    double m_halfLifeSeconds;
    double m_assumedCapacity;
    double m_meanOfOthers = 0; ///< mean work of other entries per unit of capacity
};

} // namespace foxtailring
