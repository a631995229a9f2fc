#pragma once

#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Entry to sidecar: all tokens before an offset have been received.
struct Ack
{
    static constexpr MessageType type = MessageType::Ack;

    std::string requestId;
    std::uint32_t attempt = 0;
    std::uint64_t nextOffset = 0; ///< index of the first token not yet received
    bool final = false; ///< the caller has the complete answer; the journal can be discarded

    MSGPACK_DEFINE_MAP(requestId, attempt, nextOffset, final)
};

} // namespace foxtailring
