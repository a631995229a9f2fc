#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/BackendState.h"
#include "foxtailring/decisions/PlacementRequest.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

class BackendTable;
class RandomSource;

/// \brief Chooses the server for a call, a run, or the copy of a run. Not thread-safe.
///
/// Answers the load of many entries before the same servers, each with stale reports: it counts its
/// own work exactly, others' work as it was last told, and breaks ties at random.
class BackendPlacer
{
public:
    struct Settings
    {
        /// Cost of leaving the availability zone and the region, in units of one server's slots.
        /// Bytes between regions are billed, so a call leaves its region only for a loaded server.
        double otherZoneCost = 0.1;
        double otherRegionCost = 0.6;
        /// A report older than this says nothing.
        Duration maxLoadAge = std::chrono::milliseconds(1000);
        /// A server that fails more often than this is avoided.
        double maxFailureRate = 0.3;
    };

    /// \param regions region of each availability zone
    BackendPlacer(const BackendTable &table, std::string zone,
                  std::map<std::string, std::string, std::less<>> regions, Settings settings);

    /// \brief Server for a whole answer; none when no server is listed but excluded ones.
    std::optional<BackendState> chooseForCall(const PlacementRequest &request, TimePoint now,
                                              RandomSource &random) const;
    /// \brief Servers that may run a stream, best first as far as this process knows; half of them
    /// at most in one availability zone, so that one that fails leaves others.
    std::vector<BackendState> runCandidates(const PlacementRequest &request, std::size_t maxCount,
                                            TimePoint now, RandomSource &random) const;
    /// \brief Ids of the servers where a prompt is read as a rule, the same for every process.
    std::vector<std::string> promptAffinityServers(std::string_view service,
                                                   std::string_view promptId, TimePoint now) const;
    /// \brief Server that runs a stream.
    std::optional<BackendState> chooseForRun(const PlacementRequest &request, TimePoint now,
                                             RandomSource &random) const;
    /// \brief Server that keeps a copy of a run, outside of \a avoidZone; none when there is no
    /// sound one there, since a copy beside its run is lost together with it.
    std::optional<BackendState> chooseForCopy(const PlacementRequest &request, TimePoint now,
                                              RandomSource &random) const;

private:
    struct CostModel
    {
        double (BackendPlacer::*cost)(const BackendState &) const;
        double maxTieBreak; ///< most that chance adds, in units of the cost
    };

    std::vector<BackendState> ranked(const PlacementRequest &request, const CostModel &costModel,
                                     TimePoint now, RandomSource &random) const;
    std::optional<BackendState> cheapest(const PlacementRequest &request,
                                         const CostModel &costModel, TimePoint now,
                                         RandomSource &random) const;
    double callCost(const BackendState &server) const;
    double runCost(const BackendState &server) const;
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
