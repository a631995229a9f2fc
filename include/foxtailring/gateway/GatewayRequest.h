#pragma once

#include "foxtailring/transport/HttpRequest.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief A caller's request, with the headers decoded that the gateway uses.
struct GatewayRequest
{
    HttpRequest
        http; ///< as received; headers that only the system may set are dropped when sent on
    std::string id;
    std::string host;
    std::string path;                                 ///< of the target, without the query
    std::string account;                              ///< client account; empty: public route
    std::string apiKey;                               ///< of a client account; empty: none given
    std::optional<std::chrono::milliseconds> timeout; ///< of the caller
    std::optional<std::int64_t> lastEventId;
    std::string promptId; ///< of the prompt part that only this request has; empty: not given
    /// Ids of the prompt parts that other requests may have too, in order.
    std::vector<std::string> sharedPromptParts;
    /// Names the caller, the target and the body (RequestDigest); set when the caller is known.
    std::string contentDigest;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    /// With less time left, the request is not sent after a server rejected it; set in a drain.
    std::chrono::nanoseconds minAttemptTime {0};
};

} // namespace foxtailring
