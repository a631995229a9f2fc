#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief The gateways that carry out a roll-out, as one of them knows.
struct RolloutFleet
{
    std::size_t size = 1; ///< at least; too high a number is safe
    /// Number of gateways that come before this one in the order for the service.
    std::size_t rank = 0;
    std::vector<std::string> otherIds; ///< of the other gateways that are listed
};

} // namespace foxtailring
