#pragma once

#include "foxtailring/decisions/RouteRequest.h"

#include <cstdint>

namespace foxtailring {

/// \brief An interrupted generation that needs another backend server.
struct ResumeRequest
{
    RouteRequest route;
    std::uint64_t inputTokens = 0; ///< prompt and tokens already delivered, to be prefilled
    std::uint64_t cachedTokens =
        0; ///< part of inputTokens that a server with the prefix has cached
    std::uint64_t transferBytes = 0; ///< bytes still to travel between entry and server, both ways
};

} // namespace foxtailring
