#pragma once

#include "foxtailring/protocol/MessageType.h"
#include "foxtailring/protocol/Token.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Entry to sidecar: start one attempt of a generation.
struct StartAttempt
{
    static constexpr MessageType type = MessageType::StartAttempt;

    std::string requestId;     ///< 32 hexadecimal digits, chosen by the entry
    std::uint32_t attempt = 0; ///< 1 for the first attempt; also the fencing token
    std::string account;
    std::string service;
    std::string model;
    std::string adapter;          ///< empty: none
    std::string version;          ///< empty: the engine's current version
    std::uint32_t priority = 0;   ///< 0 is the highest, 9 the lowest
    std::uint32_t deadlineMs = 0; ///< time left until the caller's deadline; 0: no deadline
    std::string prompt;
    std::vector<Token> prefix;   ///< tokens already sent to the caller; output continues after them
    std::uint32_t maxTokens = 0; ///< tokens of the whole answer, prefix included
    std::string samplingJson;    ///< the caller's sampling parameters, a JSON object
    std::string idempotencyKey;  ///< empty: none
    std::int64_t configRevision = 0; ///< configuration revision used for routing
    std::string traceparent;         ///< W3C trace context

    MSGPACK_DEFINE_MAP(requestId, attempt, account, service, model, adapter, version, priority,
                       deadlineMs, prompt, prefix, maxTokens, samplingJson, idempotencyKey,
                       configRevision, traceparent)
};

} // namespace foxtailring
