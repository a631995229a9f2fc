#pragma once

#include "foxtailring/decisions/CallKind.h"
#include "foxtailring/decisions/RouteTarget.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief How requests to one host and path prefix are handled.
struct HttpRoute
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    CallKind kind = CallKind::NonIdempotent;
    bool isPublic = false;                              ///< needs no key
    bool isResumable = false;                           ///< a stream may go on at another server
    std::uint32_t priority = 0;                         ///< 0 is the highest
    std::uint32_t maxAttempts = 1;                      ///< servers that may run one request
    std::chrono::milliseconds timeout {30'000};         ///< longest time to the end of the answer
    std::chrono::milliseconds latencyObjective {1'000}; ///< to the answer, or to the first event
    std::chrono::milliseconds maxEventGap {0}; ///< longest pause between events; 0: none stated
    std::vector<RouteTarget> targets;

    /// \brief A request may be sent again after a server may have run it.
    bool allowsRetry() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable);
    }
};

} // namespace foxtailring
