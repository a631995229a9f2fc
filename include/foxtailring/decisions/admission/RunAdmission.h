#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/admission/PlacementContention.h"
#include "foxtailring/decisions/admission/RecentShares.h"
#include "foxtailring/decisions/admission/RunRoom.h"
#include "foxtailring/decisions/limits/DemandEstimator.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

class RandomSource;
struct BackendState;
struct RunClaim;

/// \brief Which runs may use the room that is left at the engines, and when callers that were
/// refused should return. One object a process, for its own runs. Not thread-safe.
///
/// Each class of runs may fill an engine up to its own fraction of the memory. So when room is
/// short, the last of it is left to urgent runs, to those that can still be in time, and to
/// accounts and prompts that send no more than their share.
class RunAdmission
{
public:
    /// \brief What keeps a run from an engine.
    enum class Obstacle : std::uint8_t {
        None,
        Memory, ///< less memory is left than the run may use
        Prompts ///< the prompts ahead take longer than the objective allows
    };

    explicit RunAdmission(RandomSource &random);

    /// \brief Whether a new run yields to those that go first; most do.
    bool drawYields();
    /// \brief Whether a run that finds room uses it now. While few engines have room, some runs
    /// leave it to those of other processes, which see the same reports.
    bool drawUsesRoom(const RunClaim &claim, TimePoint now);
    /// \brief A run arrived.
    void recordArrival(const RunClaim &claim, TimePoint now);
    /// \brief How long the caller had waited when its request arrived, as far as its timeout shows
    /// against those of others on the route.
    Duration timeUsedBefore(std::string_view route, Duration callerTimeout, TimePoint now);
    /// \brief True if no engine can be expected to meet the objective any more.
    bool isLate(const RunClaim &claim, TimePoint now) const;
    /// \brief Fraction of an engine's memory that the run may fill.
    double maxMemoryShare(const RunClaim &claim, TimePoint now) const;
    /// \brief Whether the run may be sent to \a server, which just reported \a load.
    Obstacle obstacleAt(const BackendState &server, const BackendLoadReport &load,
                        const RunClaim &claim, TimePoint now) const;
    /// \brief The run was sent to an engine.
    void recordTaken(const RunClaim &claim, TimePoint now);
    /// \brief The run is refused: time after which its caller should return, when those that were
    /// refused before have been served. A caller that cannot be in time then gets a longer one.
    Duration recordRefused(const RunClaim &claim, TimePoint now);

    PlacementContention &contention() { return m_contention; }
    RunRoom &room() { return m_room; }
    const RunRoom &room() const { return m_room; }

private:
    struct Service
    {
        std::map<std::uint32_t, DemandEstimator> arrivals; ///< by urgency
        double takenPerSecond = 0;                         ///< moving average
        TimePoint takenAt;
        TimePoint lastReturnAt; ///< of the callers that were refused
    };
    struct LongestTimeout
    {
        Duration timeout {0};
        TimePoint at;
    };

    /// Higher urgencies that need room of their own. One with few runs counts as a part of one.
    double urgenciesBefore(const RunClaim &claim, TimePoint now) const;
    /// Fraction of the recent runs of the service that are as urgent as this one, or more.
    double fractionAsUrgent(const RunClaim &claim, TimePoint now) const;
    std::uint32_t promptsAheadOf(const RunClaim &claim, const RunRoom::Finding &finding,
                                 const BackendLoadReport &load, TimePoint now) const;

    RandomSource &m_random;
    RunRoom m_room;
    PlacementContention m_contention;
    RecentShares m_accounts; ///< by service and name
    RecentShares m_prompts;
    std::map<std::string, Service, std::less<>> m_services;
    std::map<std::string, LongestTimeout, std::less<>> m_timeouts; ///< by route
};

} // namespace foxtailring
