#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/ServerInfo.h"
#include "foxtailring/decisions/ServerStatus.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace foxtailring {

/// \brief Snapshot of one backend server. The pointers are never null.
struct ServerState
{
    std::shared_ptr<const ServerInfo> info;
    std::shared_ptr<const std::vector<std::uint64_t>> prefixHashes;
    std::uint32_t running = 0;             ///< last report
    std::uint32_t waiting = 0;             ///< last report
    std::uint32_t capacity = 0;            ///< last report; 0: not known
    std::uint32_t ownInFlight = 0;         ///< work of this entry, now
    std::uint32_t ownInFlightAtReport = 0; ///< work of this entry when the last report arrived
    Duration reportAge = Duration::max();  ///< max: no report yet
    ServerStatus status = ServerStatus::Live;
    bool inSubset = true;            ///< part of this entry's subset
    std::uint64_t incarnation = 0;   ///< 0: no report yet
    std::int64_t configRevision = 0; ///< revision in force at the sidecar
};

} // namespace foxtailring
