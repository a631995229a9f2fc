#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/BackendInfo.h"
#include "foxtailring/decisions/servers/BackendLoadReport.h"
#include "foxtailring/decisions/servers/PaceReading.h"
#include "foxtailring/decisions/servers/ReportedLoad.h"
#include "foxtailring/decisions/servers/ReportedStart.h"

#include <cstdint>
#include <optional>

namespace foxtailring {

/// \brief Whether a backend server is expected to answer.
enum class BackendHealth : std::uint8_t {
    Healthy,   ///< no recent failure
    Doubtful,  ///< other servers in its zone just failed; no contact since then
    Suspected, ///< a request or a connection to it failed
};

/// \brief A snapshot of what this process knows about a backend server.
struct BackendState
{
    BackendInfo info;
    BackendHealth health = BackendHealth::Healthy;
    bool isLeaving = false;  ///< by its entry or by an answer
    bool isReplaced = false; ///< another server, or a restarted one, seems to have its address
    ReportedStart reportedStart = ReportedStart::Accepted;
    bool hasFailedZonePeer = false; ///< a server in its zone failed; no contact since then
    std::uint32_t inFlight = 0;     ///< requests from this process
    std::uint32_t copies = 0;       ///< copies of runs placed there by this process
    double failureRate = 0;         ///< moving average over answers to this process, 0 to 1
    std::optional<BackendLoadReport> load;
    Duration loadAge {0};
    ReportedLoad reported; ///< figures of its answers and reports
    PaceReading pace;
    /// How long runs take there, as a multiple of what is usual for its service.
    double relativeRunTime = 1;

    /// \brief False: only requests that are already there go on.
    bool acceptsNewWork() const { return !isLeaving && !isReplaced; }
};

} // namespace foxtailring
