#pragma once

#include "foxtailring/decisions/configuration/CallKind.h"
#include "foxtailring/decisions/configuration/RouteTarget.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Configuration for requests to one host and path prefix.
struct HttpRoute
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    CallKind kind = CallKind::NonIdempotent;
    bool isPublic = false;                              ///< no API key required
    bool isResumable = false;                           ///< a stream may resume at another server
    std::uint32_t priority = 0;                         ///< 0 is the highest
    std::uint32_t maxAttempts = 1;                      ///< executions of one request
    std::chrono::milliseconds timeout {30'000};         ///< until the answer is complete
    std::chrono::milliseconds latencyObjective {1'000}; ///< for the answer, or for the first event
    std::chrono::milliseconds maxEventGap {0}; ///< allowed pause between events; 0: default
    std::vector<RouteTarget> targets;

    /// \brief The allowed pause between events, the default included.
    std::chrono::milliseconds usedEventGap() const
    {
        constexpr std::chrono::milliseconds defaultMaxEventGap {1000};
        return maxEventGap.count() > 0 ? maxEventGap : defaultMaxEventGap;
    }

    /// \brief True if a request may be sent again after a server may have executed it.
    bool allowsRetry() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable);
    }
};

} // namespace foxtailring
