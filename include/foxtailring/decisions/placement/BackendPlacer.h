#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/placement/PlacementRequest.h"
#include "foxtailring/decisions/servers/BackendState.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

class BackendTable;
class RandomSource;

/// \brief Chooses the server for a call, for a run, or for the copy of a run. Not thread-safe.
///
/// Many processes send requests to the same servers, and each has slightly outdated load reports.
/// The placer therefore counts its own requests exactly, takes the requests of other processes
/// from the latest report, and breaks ties at random.
class BackendPlacer
{
public:
    struct Settings
    {
        /// Extra cost of a server in another availability zone or region, as a fraction of the
        /// server's slots, or of the usual work of a call if expected times are known. Traffic
        /// between regions is billed, so a call leaves its region only when the servers there are
        /// busy.
        double otherZoneCost = 0.1;
        double otherRegionCost = 0.6;
        /// Older load reports are ignored.
        Duration maxLoadAge = std::chrono::milliseconds(1000);
        /// Servers with a higher failure rate are avoided.
        double maxFailureRate = 0.3;
    };

    /// \param zone availability zone of this process
    /// \param regions maps availability zones to regions
    BackendPlacer(const BackendTable &table, std::string zone,
                  std::map<std::string, std::string, std::less<>> regions, Settings settings);

    /// \brief Chooses the server for a call; none if there is no candidate that is not excluded.
    ///
    /// If servers tell their pace, the one with the least expected time to the answer, else the one
    /// with the least load.
    std::optional<BackendState> chooseForCall(const PlacementRequest &request, TimePoint now,
                                              RandomSource &random) const;
    /// \brief Up to \a maxCount servers for a run, the best first.
    ///
    /// At most half of them are in one availability zone, so that some remain if a zone fails.
    std::vector<BackendState> runCandidates(const PlacementRequest &request, std::size_t maxCount,
                                            TimePoint now, RandomSource &random) const;
    /// \brief Ids of the servers that runs with this prompt prefer, the same in every process.
    std::vector<std::string> promptAffinityServers(std::string_view service,
                                                   std::string_view promptId, TimePoint now) const;
    /// \brief Chooses the server for a run; none if there is no candidate that is not excluded.
    std::optional<BackendState> chooseForRun(const PlacementRequest &request, TimePoint now,
                                             RandomSource &random) const;
    /// \brief Chooses the server that holds the copy of a run, outside of avoidZone. None if there
    /// is no healthy one: a copy in the zone of its run would be lost together with it.
    std::optional<BackendState> chooseForCopy(const PlacementRequest &request, TimePoint now,
                                              RandomSource &random) const;

private:
    struct CostModel
    {
        std::function<double(const BackendPlacer &, const BackendState &)> cost;
        double maxTieBreak; ///< upper bound of the random addition, in units of the cost
    };

    static CostModel leastLoad();
    /// \param spread upper bound of a random addition to expected times
    static CostModel runCostModel(const PlacementRequest &request, double spread);
    std::vector<BackendState> ranked(const PlacementRequest &request, const CostModel &costModel,
                                     TimePoint now, RandomSource &random) const;
    std::optional<BackendState> cheapest(const PlacementRequest &request,
                                         const CostModel &costModel, TimePoint now,
                                         RandomSource &random) const;
    double callCost(const BackendState &server) const;
    double runCost(const BackendState &server, double runWeight) const;
    double distanceCost(const BackendState &server) const;
    double healthCost(const BackendState &server) const;
    double occupancy(const BackendState &server) const;
    bool hasFreshLoad(const BackendState &server) const;

    const BackendTable &m_table;
    const std::string m_zone;
    const std::map<std::string, std::string, std::less<>> m_regions;
    const Settings m_settings;
};

} // namespace foxtailring
