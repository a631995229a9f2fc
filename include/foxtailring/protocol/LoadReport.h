#pragma once

#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Sidecar to entry: load and state of a backend server.
struct LoadReport
{
    static constexpr MessageType type = MessageType::LoadReport;

    std::string serverId;
    std::string service;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;              ///< increases by one per report of an incarnation
    std::uint32_t running = 0;               ///< generations or calls in progress
    std::uint32_t waiting = 0;               ///< queued at the backend server
    std::uint32_t capacity = 0;              ///< maximum running at once
    bool leaving = false;                    ///< draining: accepts no new work
    std::int64_t configRevision = 0;         ///< configuration revision that the sidecar uses
    std::vector<std::uint64_t> prefixHashes; ///< prompt prefixes that the engine reports as cached
    std::int64_t configEpoch = 0; ///< epoch of the store in which configRevision is valid

    // Encoded as an array: this is the most frequent control message, and member names would take
    // more than half of it.
    MSGPACK_DEFINE(serverId, service, incarnation, sequence, running, waiting, capacity, leaving,
                   configRevision, prefixHashes, configEpoch)
};

} // namespace foxtailring
