#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace foxtailring {

struct BackendInfo;

/// \brief Requirements and preferences for choosing a server.
struct PlacementRequest
{
    std::string_view service;
    std::span<const std::string> exclude; ///< ids of servers that must not be chosen
    /// Ids of servers that just answered a probe; empty: unknown.
    std::span<const std::string> responsive;
    std::span<const std::string> affinityServers; ///< ids of preferred servers; empty: all
    std::string_view avoidZone;                   ///< availability zone to avoid if possible
    std::uint64_t memoryTokens = 0;               ///< prompt and output of a run; 0: not a run
    std::function<bool(const BackendInfo &)> accepts {}; ///< servers of choice; empty: all
    bool usesSpeed =
        false; ///< runs go where they are expected to end first, not where load is least
};

} // namespace foxtailring
