#pragma once

#include "foxtailring/transport/HttpRequest.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief A caller's request with the headers that the gateway acts on decoded.
struct GatewayRequest
{
    HttpRequest http; ///< as it came; what concerns the system only is left out when it is sent on
    std::string id;
    std::string host;
    std::string path;                                 ///< of the target, without the query
    std::string apiKey;                               ///< of a client account; empty: none given
    std::optional<std::chrono::milliseconds> timeout; ///< how long the caller waits
    std::optional<std::int64_t> lastEventId;
    std::string promptId; ///< of the part of the prompt that no other has; empty: not told
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
};

} // namespace foxtailring
