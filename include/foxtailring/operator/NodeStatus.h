#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief State of one node, as seen by an entry.
struct NodeStatus
{
    std::string id;
    std::string role;  ///< entry or sidecar
    std::string state; ///< live, leaving, suspected or gone
    std::string availabilityZone;
    std::int64_t revision = 0; ///< last acknowledged configuration revision; 0: none
};

} // namespace foxtailring
