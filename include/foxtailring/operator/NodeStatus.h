#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief One process of the system as an entry sees it.
struct NodeStatus
{
    std::string id;
    std::string role;  ///< entry or sidecar
    std::string state; ///< live, leaving, suspected or gone
    std::string availabilityZone;
    std::int64_t revision = 0; ///< configuration revision it has acknowledged; 0: none
};

} // namespace foxtailring
