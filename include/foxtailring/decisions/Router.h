#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/ResumeRequest.h"
#include "foxtailring/decisions/RouteChoice.h"
#include "foxtailring/decisions/RouteRequest.h"

#include <span>
#include <vector>

namespace foxtailring {

class PrefixHints;
class RandomSource;
class ServerTable;
struct RouteCandidate;

/// \brief Chooses the backend server for new and resumed work.
///
/// Has no state of its own: safe on any thread, given a RandomSource of that thread. Takes the lock
/// of ServerTable and then, after releasing it, that of PrefixHints.
class Router
{
public:
    struct Settings
    {
        /// Age at which a report's load counts half, as a part of the mean run time; the rest is
        /// the mean of the candidates. With runs of 1.5 s a half-life of 0.1 to 0.3 s had the least
        /// p99 wait, with runs of 20 s one of 2 to 8 s (bench-policy, trials).
        double reportHalfLifeInRunTimes = 0.2;
        /// Work per unit of capacity from which servers count as saturated.
        double saturationLoad = 1.0;
        /// Score of leaving the availability zone and the region, in units of full capacity.
        double otherZoneCost = 0.25;
        double otherRegionCost = 1.0;
        /// Most that a prefix hint lowers the score, in units of full capacity.
        double prefixDiscount = 0.25;
        /// Capacity of a server that has not reported yet.
        double assumedCapacity = 8;

        /// Round trips in milliseconds: same zone, same region, other region.
        double sameZoneRoundTripMs = 1;
        double sameRegionRoundTripMs = 3;
        double otherRegionRoundTripMs = 25;
        /// Prefill time in milliseconds per token at an idle server.
        double prefillMsPerToken = 0.2;
        /// Cost in milliseconds of latency that one prefilled token and one billed byte weigh.
        double prefillTokenCostMs = 0.2;
        double crossRegionByteCostMs = 0.02;
        /// Resumes are spread over servers whose cost is within this part above the least.
        double resumeCostTolerance = 0.25;
    };

    /// \brief Keeps references; both must outlive the router.
    Router(const ServerTable &table, const PrefixHints &hints, Settings settings);

    /// \brief Server for new work. Unavailable when no server may take it.
    Result<RouteChoice> choose(const RouteRequest &request, TimePoint now,
                               RandomSource &random) const;
    /// \brief Server for an interrupted generation, by the cost of section 7.2, over all
    /// candidates.
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
