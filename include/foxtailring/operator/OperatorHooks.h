#pragma once

#include "foxtailring/operator/NodeStatus.h"

#include <functional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Functions that the operator interface needs from its entry. Called from worker threads.
struct OperatorHooks
{
    std::function<std::vector<NodeStatus>()> localNodes; ///< this entry and its sidecars
    std::function<std::vector<std::string>()>
        peerAdminAddresses;                  ///< IP:PORT of other entries' admin ports
    std::function<std::string()> statusJson; ///< JSON object: servers, load, requests in flight
};

} // namespace foxtailring
