#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief One VM of the platform's list.
struct Vm
{
    std::string id;
    std::string address; ///< IP:PORT; a sidecar's inner port, an entry's admin port
    std::string region;
    std::string availabilityZone;
    std::string service; ///< sidecars only
    bool isEntry = false;
    bool isLeaving = false;
};

} // namespace foxtailring
