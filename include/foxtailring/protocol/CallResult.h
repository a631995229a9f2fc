#pragma once

#include "foxtailring/protocol/HttpHeader.h"
#include "foxtailring/protocol/MessageType.h"
#include "foxtailring/protocol/Outcome.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Sidecar to entry: the outcome of a call.
struct CallResult
{
    static constexpr MessageType type = MessageType::CallResult;

    std::string requestId;
    Outcome outcome = Outcome::Unknown;
    std::uint32_t status = 0; ///< HTTP status from the backend server; 0 unless outcome is Done
    std::vector<HttpHeader> headers;
    std::string body;
    std::string message;            ///< reason unless outcome is Done
    std::uint32_t retryAfterMs = 0; ///< 0: none

    MSGPACK_DEFINE_MAP(requestId, outcome, status, headers, body, message, retryAfterMs)
};

} // namespace foxtailring
