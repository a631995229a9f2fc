#pragma once

#include "foxtailring/decisions/placement/RouteRequest.h"

#include <cstdint>

namespace foxtailring {

/// \brief An interrupted generation that needs another backend server.
struct ResumeRequest
{
    RouteRequest route;
    std::uint64_t inputTokens = 0; ///< to be prefilled: the prompt and the tokens already delivered
    /// Those of inputTokens that need no prefill at a server that has the prefix cached.
    std::uint64_t cachedTokens = 0;
    /// Still to be transferred between entry and server, in both directions.
    std::uint64_t transferBytes = 0;
};

} // namespace foxtailring
