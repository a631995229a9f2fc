#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/generation/ResumeRequest.h"
#include "foxtailring/decisions/placement/RouteChoice.h"
#include "foxtailring/decisions/placement/RouteRequest.h"

#include <span>
#include <vector>

namespace foxtailring {

class PrefixHints;
class RandomSource;
class ServerTable;
struct RouteCandidate;

/// \brief Chooses the backend server for new and resumed work.
///
/// Stateless: safe on any thread with a RandomSource of that thread. Takes the locks of ServerTable
/// and PrefixHints one after the other, never both at once.
class Router
{
public:
    struct Settings
    {
        /// Age, in mean run times, at which a load report has half its weight; the mean over the
        /// candidates has the other half. The half-life with the lowest p99 wait grows with the run
        /// time: 0.1 to 0.3 s for runs of 1.5 s, 2 to 8 s for runs of 20 s.
        double reportHalfLifeInRunTimes = 0.2;
        /// Work per unit of capacity from which servers count as saturated.
        double saturationLoad = 1.0;
        /// Added to the score of a server in another availability zone or region, in units of load.
        double otherZoneCost = 0.25;
        double otherRegionCost = 1.0;
        /// Subtracted from the score of an unsaturated server with a prefix hint, in units of load.
        double prefixDiscount = 0.25;
        /// Capacity of a server that has not reported yet, in concurrent requests.
        double assumedCapacity = 8;

        /// Round trip times by distance.
        double sameZoneRoundTripMs = 1;
        double sameRegionRoundTripMs = 3;
        double otherRegionRoundTripMs = 25;
        /// Prefill time per token at an idle server.
        double prefillMsPerToken = 0.2;
        /// Latency that one prefilled token or one byte between regions is worth.
        double prefillTokenCostMs = 0.2;
        double crossRegionByteCostMs = 0.02;
        /// Resumes are spread over the servers whose cost exceeds the lowest by at most this
        /// fraction.
        double resumeCostTolerance = 0.25;
    };

    /// \brief \a table and \a hints must outlive the router.
    Router(const ServerTable &table, const PrefixHints &hints, Settings settings);

    /// \brief Chooses a server for new work. Unavailable when none can take it.
    Result<RouteChoice> choose(const RouteRequest &request, TimePoint now,
                               RandomSource &random) const;
    /// \brief Chooses a server for an interrupted generation, by expected resume cost among the
    /// candidates of all regions. Unavailable when none can take it.
    Result<RouteChoice> chooseForResume(const ResumeRequest &request, TimePoint now,
                                        RandomSource &random) const;

private:
    std::vector<RouteCandidate> candidatesFor(const RouteRequest &request, TimePoint now) const;
    const RouteCandidate *bestOfTwo(std::span<const RouteCandidate *const> from,
                                    const RouteRequest &request, RandomSource &random) const;
    double score(const RouteCandidate &candidate, const RouteRequest &request) const;
    double resumeCost(const RouteCandidate &candidate, const ResumeRequest &request) const;

    const ServerTable &m_table;
    const PrefixHints &m_hints;
    const Settings m_settings;
};

} // namespace foxtailring
