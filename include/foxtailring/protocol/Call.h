#pragma once

#include "foxtailring/protocol/HttpHeader.h"
#include "foxtailring/protocol/MessageType.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Entry to sidecar: one call to a plain (not a generation) service.
struct Call
{
    static constexpr MessageType type = MessageType::Call;

    std::string requestId;
    std::string account;
    std::string service;
    std::string method; ///< HTTP method
    std::string target; ///< path and query for the backend server
    std::vector<HttpHeader> headers;
    std::string body;
    std::string idempotencyKey;   ///< empty: none
    bool idempotent = false;      ///< may be sent to the backend server more than once
    std::uint32_t deadlineMs = 0; ///< time left until the deadline
    std::string traceparent;

    MSGPACK_DEFINE_MAP(requestId, account, service, method, target, headers, body, idempotencyKey,
                       idempotent, deadlineMs, traceparent)
};

} // namespace foxtailring
