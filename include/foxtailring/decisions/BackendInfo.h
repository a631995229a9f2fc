#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief A backend server's own entry in the platform's server list.
struct BackendInfo
{
    std::string id;
    std::string service;
    std::string address; ///< IP:PORT
    std::string availabilityZone;
    std::uint32_t slots = 1; ///< requests that it executes concurrently
    bool isDraining = false;
    std::int64_t startedAtMs = 0; ///< start time, Unix ms; 0: not given
};

} // namespace foxtailring
