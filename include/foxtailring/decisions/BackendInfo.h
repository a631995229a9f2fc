#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief What a backend server says of itself in the platform's list.
struct BackendInfo
{
    std::string id;
    std::string service;
    std::string address; ///< IP:PORT
    std::string availabilityZone;
    std::uint32_t slots = 1; ///< requests that it runs at once
    bool isDraining = false;
    std::int64_t startedAtMs = 0; ///< Unix time of its start; 0: not told
};

} // namespace foxtailring
