#pragma once

#include <span>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief What a placement has to fit.
struct PlacementRequest
{
    std::string_view service;
    std::span<const std::string> exclude; ///< ids of servers that were tried already
    std::span<const std::string>
        responsive; ///< ids of servers that live as of now; empty: not known
    std::span<const std::string>
        affinityServers;            ///< ids of servers to stay at when possible; empty: all
    std::string_view avoidZone;     ///< availability zone to stay out of when possible
    std::uint64_t memoryTokens = 0; ///< prompt and output of a run; 0: not a run
};

} // namespace foxtailring
