#pragma once

#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Entry to sidecar: resend the tokens in an attempt's journal from an offset on.
struct Attach
{
    static constexpr MessageType type = MessageType::Attach;

    std::string requestId;
    std::uint32_t attempt = 0;
    std::string account;
    std::uint64_t fromOffset = 0; ///< index in the whole answer of the first token to send
    std::string traceparent;

    MSGPACK_DEFINE_MAP(requestId, attempt, account, fromOffset, traceparent)
};

} // namespace foxtailring
