#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/placement/CostWeights.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Work that needs a backend server.
struct RouteRequest
{
    std::string service;
    std::string zone;                           ///< availability zone of the entry
    std::string region;                         ///< region of the entry
    std::optional<std::uint64_t> prefixHash;    ///< keyHash of the prompt prefix
    std::vector<std::string> excludedServerIds; ///< must not be chosen
    CostWeights weights;
    /// Mean run time of the service's requests, from AdmissionController::meanRunTime(). It sets
    /// how fast load reports go out of date and how fast queues drain.
    Duration meanRunTime = std::chrono::seconds(5);
};

} // namespace foxtailring
