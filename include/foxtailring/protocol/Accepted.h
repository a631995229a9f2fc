#pragma once

#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Sidecar to entry: the attempt is in the journal and goes to the engine.
struct Accepted
{
    static constexpr MessageType type = MessageType::Accepted;

    std::string requestId;
    std::uint32_t attempt = 0;
    std::string serverId;
    std::uint64_t incarnation = 0; ///< unique to this start of the sidecar; grows with each start

    MSGPACK_DEFINE_MAP(requestId, attempt, serverId, incarnation)
};

} // namespace foxtailring
