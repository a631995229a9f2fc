#pragma once

#include <chrono>

namespace foxtailring {

/// \brief Limits of what an unproven version of a service may get.
struct RolloutSettings
{
    double maxShare = 0.1;     ///< of the requests of the service
    double slackRequests = 50; ///< beyond the share, of all gateways together
    std::chrono::milliseconds maxRollbackTime {5000}; ///< from the evidence to the last request
};

} // namespace foxtailring
