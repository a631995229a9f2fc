#pragma once

#include <cstdint>

namespace foxtailring::fakes {

/// \brief Totals of one route of the proxy.
struct ProxyCounters
{
    std::uint64_t accepted = 0;       ///< connections
    std::uint64_t toTargetBytes = 0;  ///< delivered
    std::uint64_t toClientBytes = 0;  ///< delivered
    std::uint64_t swallowedBytes = 0; ///< in both directions
};

} // namespace foxtailring::fakes
