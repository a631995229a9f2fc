#pragma once

#include "foxtailring/protocol/HttpHeader.h"
#include "foxtailring/protocol/MessageType.h"
#include "foxtailring/protocol/Outcome.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Sidecar to entry: what became of a call.
struct CallResult
{
    static constexpr MessageType type = MessageType::CallResult;

    std::string requestId;
    Outcome outcome = Outcome::Unknown;
    std::uint32_t status = 0; ///< HTTP status of the backend server; 0 unless done
    std::vector<HttpHeader> headers;
    std::string body;
    std::string message;            ///< reason when not done
    std::uint32_t retryAfterMs = 0; ///< milliseconds; 0: no advice

    MSGPACK_DEFINE_MAP(requestId, outcome, status, headers, body, message, retryAfterMs)
};

} // namespace foxtailring
