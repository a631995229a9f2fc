#pragma once

#include "foxtailring/base/StoreRevision.h"
#include "foxtailring/decisions/rollouts/RolloutState.h"
#include "foxtailring/decisions/rollouts/VersionFigures.h"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief State of a roll-out, which gateways write for the operator and for each other.
struct RolloutStatus
{
    RolloutState state = RolloutState::Serving;
    std::string version;              ///< that the order names
    bool isTrial = true;              ///< the version has not served before the order
    double share = 0;                 ///< of the requests, for the new version
    std::int64_t startedAtMs = 0;     ///< Unix ms, by the clock of the first writer
    std::int64_t elapsedMs = 0;       ///< from the order to this step, by a steady clock
    StoreRevision order;              ///< that this answers
    std::vector<std::string> refused; ///< versions that must not serve
    VersionFigures newFigures;
    VersionFigures oldFigures;
    std::string reason; ///< of the last step, for the operator

    bool operator==(const RolloutStatus &) const = default;
};

} // namespace foxtailring
