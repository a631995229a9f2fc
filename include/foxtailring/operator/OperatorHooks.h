#pragma once

#include "foxtailring/operator/NodeStatus.h"

#include <functional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief What the operator interface asks of the entry it runs in. Called from worker threads.
struct OperatorHooks
{
    std::function<std::vector<NodeStatus>()> localNodes; ///< this entry and its sidecars
    std::function<std::vector<std::string>()>
        peerAdminAddresses;                  ///< IP:PORT of other entries' admin ports
    std::function<std::string()> statusJson; ///< JSON object: servers, loads, work in flight
};

} // namespace foxtailring
