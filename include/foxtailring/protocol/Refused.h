#pragma once

#include "foxtailring/protocol/MessageEnums.h"
#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Sidecar to entry: the attempt was rejected before anything reached the engine.
struct Refused
{
    static constexpr MessageType type = MessageType::Refused;

    std::string requestId;
    std::uint32_t attempt = 0;
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    std::uint32_t retryAfterMs = 0; ///< 0: none

    MSGPACK_DEFINE_MAP(requestId, attempt, code, message, retryAfterMs)
};

} // namespace foxtailring
