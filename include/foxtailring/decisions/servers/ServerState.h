#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/ServerInfo.h"
#include "foxtailring/decisions/servers/ServerStatus.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace foxtailring {

/// \brief Snapshot of one backend server. The pointers are never null.
struct ServerState
{
    std::shared_ptr<const ServerInfo> info;
    std::shared_ptr<const std::vector<std::uint64_t>> prefixHashes;
    std::uint32_t running = 0;             ///< in the last report
    std::uint32_t waiting = 0;             ///< in the last report
    std::uint32_t capacity = 0;            ///< in the last report; 0: not known
    std::uint32_t ownInFlight = 0;         ///< requests of this entry in flight there
    std::uint32_t ownInFlightAtReport = 0; ///< ownInFlight when the last report arrived
    Duration reportAge = Duration::max();  ///< max: no report yet
    ServerStatus status = ServerStatus::Live;
    bool inSubset = true;            ///< this entry may send new work there
    std::uint64_t incarnation = 0;   ///< 0: no report yet
    std::int64_t configRevision = 0; ///< configuration revision at the sidecar
};

} // namespace foxtailring
