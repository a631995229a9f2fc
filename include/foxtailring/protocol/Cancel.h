#pragma once

#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Entry to sidecar: stop an attempt.
struct Cancel
{
    static constexpr MessageType type = MessageType::Cancel;

    std::string requestId;
    std::uint32_t attempt = 0;
    std::string reason;

    MSGPACK_DEFINE_MAP(requestId, attempt, reason)
};

} // namespace foxtailring
