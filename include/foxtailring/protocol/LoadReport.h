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
    std::uint64_t sequence = 0;              ///< grows by one with each report of an incarnation
    std::uint32_t running = 0;               ///< generations or calls in progress
    std::uint32_t waiting = 0;               ///< queued at the backend server
    std::uint32_t capacity = 0;              ///< most that run at once
    bool leaving = false;                    ///< takes no new work
    std::int64_t configRevision = 0;         ///< revision in force at the sidecar
    std::vector<std::uint64_t> prefixHashes; ///< prompt prefixes that the engine reported as cached

    // An array, since this is the most frequent control message and names of members would be more
    // than half of it.
    MSGPACK_DEFINE(serverId, service, incarnation, sequence, running, waiting, capacity, leaving,
                   configRevision, prefixHashes)
};

} // namespace foxtailring
