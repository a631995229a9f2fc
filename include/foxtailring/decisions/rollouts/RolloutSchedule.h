#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/rollouts/RolloutSettings.h"
#include "foxtailring/decisions/rollouts/VersionVerdict.h"

#include <optional>

namespace foxtailring {

/// \brief When the share of a new version rises, and when a roll-out is completed.
class RolloutSchedule
{
public:
    struct Progress
    {
        Duration elapsed {0}; ///< since the order
        Duration ramp {0};
        Duration shareAge {0}; ///< since the share was set
        double share = 0;
        double observedShare = 1; ///< of the requests, of which the gateways tell
        bool isMoved = false;     ///< acknowledged by all gateways
        bool hasOld = true;       ///< servers of another version are listed
    };
    struct Step
    {
        bool isFinal = false;      ///< the roll-out ends
        bool isRolledBack = false; ///< only if final
        double share = 0;
    };

    explicit RolloutSchedule(const RolloutSettings &settings);

    /// \brief Share of a version that is on trial.
    double trialShare() const;
    /// \brief Time from the order in which the requests beyond the share begin.
    static Duration extraTime(Duration ramp);
    /// \brief Time from the order in which each gateway tries one route only.
    static Duration reservedTime(Duration ramp);
    /// \brief Time from the order in which those requests load the servers.
    static Duration spreadTime(Duration ramp);
    /// \brief The next step, if it is due.
    std::optional<Step> next(const Progress &progress, const VersionVerdict &verdict) const;

private:
    static Duration moveTime(Duration ramp, Duration usualTime);
    static bool mayMove(const Progress &progress, const VersionVerdict &verdict);
    static bool mayEndMove(const Progress &progress, const VersionVerdict &verdict);

    const double m_trialShare;
};

} // namespace foxtailring
