#pragma once

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/placement/PrefixHints.h"
#include "foxtailring/decisions/placement/Router.h"
#include "foxtailring/decisions/servers/ServerTable.h"

#include "EventLoop.h"
#include "SimServer.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace foxtailring::bench {

/// \brief What one entry knows and decides with.
struct FleetEntry
{
    explicit FleetEntry(const Router::Settings &settings)
        : router(table, hints, settings)
    {
    }

    ServerTable table;
    PrefixHints hints;
    Router router;
    std::string zone;
};

/// \brief Servers and entries spread over availability zones of one region, with lagging reports.
class Fleet
{
public:
    struct Shape
    {
        std::size_t entries = 20;
        std::size_t servers = 40;
        std::size_t zones = 1;
        bool entriesAreInZones = true; ///< false: all zones are equally near
        std::uint32_t slots = 8;
        Duration reportInterval = std::chrono::seconds(1);
        Duration meanRun = std::chrono::seconds(1);
        Router::Settings router;
    };

    Fleet(const Shape &shape, std::uint64_t seed);

    EventLoop loop;
    RandomSource random;
    std::vector<std::unique_ptr<SimServer>> servers;
    std::vector<std::unique_ptr<FleetEntry>> entries;

    SimServer &server(const std::string &id);
    FleetEntry &randomEntry() { return *entries[random.bounded(entries.size())]; }
    RouteRequest request(const FleetEntry &entry) const;
    /// \brief Calls \a arrive as a Poisson process between two times.
    void arrivals(double perSecond, TimePoint from, TimePoint until,
                  const std::function<void()> &arrive);
    /// \brief Exponentially distributed time.
    Duration exponential(double meanSeconds);

private:
    const Duration m_meanRun;

    void startReports(SimServer &server, Duration interval);
    void nextArrival(double perSecond, TimePoint until, const std::function<void()> &arrive);
};

Duration secondsDuration(double seconds);
double toSeconds(Duration duration);

} // namespace foxtailring::bench
