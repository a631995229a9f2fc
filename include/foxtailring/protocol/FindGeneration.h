#pragma once

#include "foxtailring/protocol/MessageType.h"

#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Entry to sidecar: ask where the request with an idempotency key runs.
struct FindGeneration
{
    static constexpr MessageType type = MessageType::FindGeneration;

    std::string account;
    std::string idempotencyKey;

    MSGPACK_DEFINE_MAP(account, idempotencyKey)
};

} // namespace foxtailring
