#pragma once

#include <string>

namespace foxtailring {

/// \brief Fixed facts of one backend server, as the platform's VM list gives them.
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
