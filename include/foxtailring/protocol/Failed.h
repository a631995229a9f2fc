#pragma once

#include "foxtailring/protocol/MessageEnums.h"
#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Sidecar to entry: the attempt failed before its last token.
struct Failed
{
    static constexpr MessageType type = MessageType::Failed;

    std::string requestId;
    std::uint32_t attempt = 0;
    std::uint64_t nextOffset = 0;
    ErrorCode code = ErrorCode::Internal;
    std::string message;

    MSGPACK_DEFINE_MAP(requestId, attempt, nextOffset, code, message)
};

} // namespace foxtailring
