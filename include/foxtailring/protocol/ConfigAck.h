#pragma once

#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Sidecar to entry: the configuration revision that the sidecar uses.
struct ConfigAck
{
    static constexpr MessageType type = MessageType::ConfigAck;

    std::string nodeId;
    std::int64_t revision = 0;
    std::int64_t epoch = 0; ///< of the store, in which the revision is valid

    MSGPACK_DEFINE_MAP(nodeId, revision, epoch)
};

} // namespace foxtailring
