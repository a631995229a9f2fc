#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief One VM in the platform's list.
struct Vm
{
    std::string id;
    std::string address; ///< IP:PORT: the inner port of a sidecar, the admin port of an entry
    std::string region;
    std::string availabilityZone;
    std::string service; ///< empty for an entry
    bool isEntry = false;
    bool isLeaving = false;
};

} // namespace foxtailring
