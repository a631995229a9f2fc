#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/BackendInfo.h"
#include "foxtailring/decisions/BackendLoadReport.h"

#include <cstdint>
#include <optional>

namespace foxtailring {

/// \brief How sure it is that a backend server answers.
enum class BackendHealth : std::uint8_t {
    Healthy,   ///< nothing speaks against it
    Doubtful,  ///< servers beside it failed just now, and it was not heard of since
    Suspected, ///< it failed a request or a connection itself
};

/// \brief A backend server as one process sees it at a moment.
struct BackendState
{
    BackendInfo info;
    BackendHealth health = BackendHealth::Healthy;
    bool isReplaced = false;        ///< another server, or its next start, has its address
    bool hasFailedZonePeer = false; ///< one in its zone failed, and it was not heard of since
    std::uint32_t inFlight = 0;     ///< requests of this process
    std::uint32_t copies = 0;       ///< copies of runs that this process placed there
    double failureRate = 0;         ///< of the recent answers to this process, from 0 to 1
    std::optional<BackendLoadReport> load;
    Duration loadAge {0};
};

} // namespace foxtailring
