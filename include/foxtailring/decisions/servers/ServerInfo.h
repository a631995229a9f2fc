#pragma once

#include <string>

namespace foxtailring {

/// \brief Fixed properties of one backend server, from the platform's VM list.
struct ServerInfo
{
    std::string id;
    std::string service;
    std::string address; ///< IP:PORT of the sidecar
    std::string region;
    std::string availabilityZone;

    bool operator==(const ServerInfo &) const = default;
};

} // namespace foxtailring
