#pragma once

#include "foxtailring/decisions/servers/BackendLoadReport.h"
#include "foxtailring/decisions/servers/LeavingNotice.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief An engine's response to a probe of its state.
struct ServerProbeResult
{
    std::string serverId;
    BackendLoadReport load;
    bool hasRun = false;          ///< runs the request that the probe asked about
    std::int64_t eventCount = 0;  ///< events produced by that run
    bool hasPrompt = false;       ///< the prompt that the probe asked about is in its memory
    std::int64_t startedAtMs = 0; ///< Unix time of its start; 0: not given
    LeavingNotice leaving = LeavingNotice::None;
    bool isTurnedAway = false; ///< the server asked for a pause in place of a report
    /// How long work takes there at this moment; 1: as long as usual; none: not told.
    std::optional<double> relativeDuration = std::nullopt;
    /// Tokens of the first run that waits there; none: not told.
    std::optional<std::uint64_t> firstWaitingTokens = std::nullopt;
    bool listsRuns = false; ///< all runs but those in prompt processing; \a hasRun is known
};

} // namespace foxtailring
