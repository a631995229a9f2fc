#pragma once

#include "foxtailring/decisions/servers/BackendAnswer.h"
#include "foxtailring/protocol/EventStreamReader.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/HttpResponse.h"

#include <cstdint>
#include <memory>
#include <string>

namespace foxtailring {

class Http1Stream;

/// \brief One attempt of a request at a server, and what has arrived of its answer.
struct ServerAttempt
{
    std::uint64_t number = 0; ///< from 1; 0: none
    std::string serverId;
    Endpoint endpoint;
    std::shared_ptr<Http1Stream> stream;
    bool hasHead = false; ///< the answer has begun
    HttpResponse head;
    BackendAnswer answer;
    std::string body;
    EventStreamReader events;
    bool isStreaming = false; ///< events are forwarded as they arrive
    bool isFromCopy = false;
    bool isSecond = false;        ///< beside an earlier one whose answer is slow
    std::uint64_t eventCount = 0; ///< passed on
};

} // namespace foxtailring
