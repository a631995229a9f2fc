#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/limits/DemandEstimator.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief How long one process keeps an idle connection to a server that accepts a bounded number
/// of connections from all processes together.
///
/// Not thread-safe.
class IdleConnectionLimit
{
public:
    /// \param fleetLimit idle connections to one server that all processes together keep, as an
    /// average over time
    /// \param maxKeptFor longest time that an idle connection is kept
    IdleConnectionLimit(double fleetLimit, std::chrono::milliseconds maxKeptFor);

    /// \brief Divides the limit by the number of processes, at least 1.
    void setProcessCount(std::size_t count);
    /// \brief Sets the share of this process, in connections.
    void setShare(double share) { m_share = share; }

    /// \brief Records that a connection to \a server has become idle, and returns how long to keep
    /// it; 0: close it now.
    /// \param idleCount other idle connections to \a server that this process keeps
    std::chrono::milliseconds keepFor(std::string_view server, std::size_t idleCount,
                                      TimePoint now);

    /// \brief The server reset or refused a connection: none to it is kept for a while.
    void recordReset(std::string_view server, TimePoint now);

    /// \brief Forgets servers without a recent connection.
    void expire(TimePoint now);
    std::size_t serverCount() const { return m_servers.size(); }

private:
    struct Server
    {
        /// Of connections that became idle beside none, one, two others, and so on.
        std::vector<DemandEstimator> demand;
        TimePoint knownSince;
        TimePoint usedAt;
        TimePoint avoidedUntil;
    };

    Server &use(std::string_view server, TimePoint now);
    double shareBeside(std::size_t idleCount) const;

    const double m_fleetLimit;
    const std::chrono::milliseconds m_maxKeptFor;
    double m_share; ///< of this process, in connections
    std::map<std::string, Server, std::less<>> m_servers;
};

} // namespace foxtailring
