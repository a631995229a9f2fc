#pragma once

#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Sidecar to entry: the attempt is recorded in the journal and is being sent to the engine.
struct Accepted
{
    static constexpr MessageType type = MessageType::Accepted;

    std::string requestId;
    std::uint32_t attempt = 0;
    std::string serverId;
    std::uint64_t incarnation = 0; ///< unique per start of the sidecar; larger for later starts

    MSGPACK_DEFINE_MAP(requestId, attempt, serverId, incarnation)
};

} // namespace foxtailring
