#pragma once

#include "foxtailring/protocol/MessageType.h"
#include "foxtailring/protocol/Phase.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Sidecar to entry: heartbeat of an attempt that sends no tokens at the moment.
struct Progress
{
    static constexpr MessageType type = MessageType::Progress;

    std::string requestId;
    std::uint32_t attempt = 0;
    Phase phase = Phase::Queued;
    std::uint64_t nextOffset = 0; ///< index of the next token expected from the engine

    MSGPACK_DEFINE_MAP(requestId, attempt, phase, nextOffset)
};

} // namespace foxtailring
