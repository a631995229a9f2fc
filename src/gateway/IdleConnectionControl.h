#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/limits/IdleConnectionDemand.h"
#include "foxtailring/decisions/limits/IdleConnectionLimit.h"
#include "foxtailring/transport/Timer.h"

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>

namespace foxtailring {

class Http1Client;
class MetricRegistry;
class WorkerPool;
struct Endpoint;

/// \brief Applies an IdleConnectionLimit to the connections of one client. Thread-safe.
class IdleConnectionControl
{
public:
    struct Settings
    {
        std::string name; ///< of the client, in metrics
        double fleetLimit = 0;
        std::chrono::milliseconds maxKeptFor {0};
        double demandPhase = 0; ///< see IdleConnectionDemand
    };

    /// \param client outlives this object
    IdleConnectionControl(WorkerPool &pool, Http1Client &client, MetricRegistry &metrics,
                          Clock clock, Settings settings);
    ~IdleConnectionControl();
    IdleConnectionControl(const IdleConnectionControl &) = delete;
    IdleConnectionControl &operator=(const IdleConnectionControl &) = delete;

    void setProcessCount(std::size_t count);
    /// \brief Sets the share of this gateway, in connections to each server.
    void setShare(double share);
    /// \brief The demand to list now, if any (IdleConnectionDemand::takeDue).
    std::optional<int> takeDueDemand(std::optional<int> listed, std::size_t processCount);
    /// \brief A connection to \a endpoint failed before an answer: the idle ones are given back.
    /// Returns their number.
    std::size_t onConnectionFailed(const Endpoint &endpoint);

private:
    std::chrono::milliseconds keepFor(const Endpoint &endpoint, std::size_t idleCount);
    void closeExpired();
    std::string closedCounter(const std::string &cause) const;

    Http1Client &m_client;
    MetricRegistry &m_metrics;
    const Clock m_clock;
    const Settings m_settings;
    std::mutex m_mutex;
    IdleConnectionLimit m_limit;   ///< under m_mutex
    IdleConnectionDemand m_demand; ///< under m_mutex
    Timer m_timer;
};

} // namespace foxtailring
