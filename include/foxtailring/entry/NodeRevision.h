#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief The configuration revision of one process, as an entry knows it.
struct NodeRevision
{
    std::string id;
    std::string role;  ///< entry or sidecar
    std::string state; ///< live, leaving, suspected or gone
    std::string availabilityZone;
    std::int64_t revision = 0; ///< acknowledged; 0: none
};

} // namespace foxtailring
