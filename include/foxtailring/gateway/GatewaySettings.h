#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace foxtailring {

class SettingsReader;

/// \brief Settings of one gateway, from YAML.
struct GatewaySettings
{
    std::string nodeId;
    std::string availabilityZone;
    std::map<std::string, std::string, std::less<>> regions; ///< of each availability zone
    Endpoint listen;                                         ///< for callers
    Endpoint ready;                                          ///< /readyz and /metrics
    Endpoint metrics;                                        ///< /metrics, at an address of its own
    Endpoint store;                                          ///< the platform's key-value service
    std::size_t threads = 1;
    std::size_t memoryMb = 160; ///< of the VM; a quarter of it is for what requests hold

    std::chrono::milliseconds maxKeyRevocationDelay {
        5000}; ///< a withdrawn key is refused after this
    std::chrono::milliseconds maxServerListDelay {
        2500};                                      ///< a leaving server gets no work after this
    std::chrono::milliseconds maxStartupWait {300}; ///< requests wait this long for the first read
    std::chrono::milliseconds drainTimeout {8000};  ///< from SIGTERM to the end of the process

    static Result<GatewaySettings> fromFile(const std::string &path);
    /// \brief Reports every fault at once, each with its place and what is allowed.
    static Result<GatewaySettings> read(SettingsReader &reader);
};

} // namespace foxtailring
