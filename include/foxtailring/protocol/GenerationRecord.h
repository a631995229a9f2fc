#pragma once

#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace foxtailring {

/// \brief Where the request with an idempotency key runs.
struct GenerationRecord
{
    static constexpr MessageType type = MessageType::GenerationRecord;

    std::string account;
    std::string idempotencyKey;
    std::string bodyHash; ///< bodyHash() of the request; the same key with another body is rejected
    std::string requestId;
    std::uint32_t attempt = 0;
    std::string serverAddress; ///< IP:PORT of the sidecar that runs the attempt

    MSGPACK_DEFINE_MAP(account, idempotencyKey, bodyHash, requestId, attempt, serverAddress)
};

} // namespace foxtailring
