#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/rollouts/RolloutSettings.h"
#include "foxtailring/decisions/sessions/SecondAttempts.h"
#include "foxtailring/transport/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

class SettingsReader;

/// \brief Settings of one gateway, from YAML.
struct GatewaySettings
{
    std::string nodeId;
    std::string availabilityZone;
    std::map<std::string, std::string, std::less<>> regions; ///< by availability zone
    Endpoint listen;                                         ///< for callers
    Endpoint ready;                                          ///< /readyz and /metrics
    Endpoint metrics;                                        ///< /metrics, at a separate address
    Endpoint store;                                          ///< the platform's key-value service
    std::size_t threads = 1;
    std::size_t memoryMb = 160; ///< of the VM; requests may hold a quarter of it

    /// Parts of the platform's rules that are in force, by the platform's names.
    std::vector<std::string> platformRules;
    /// Callers and servers may read slowly and have little memory: what is held for one client
    /// account and at the servers is limited. Follows from the rules.
    bool limitsPeerMemory = false;

    /// Time limit from the withdrawal of a key until it is refused.
    std::chrono::milliseconds maxKeyRevocationDelay {5000};
    /// Time limit from a server's announcement that it leaves until it gets no new work.
    std::chrono::milliseconds maxServerListDelay {2500};
    std::chrono::milliseconds maxStartupWait {
        300};                                      ///< of requests, for the first read of the store
    double storeReadsPerSecond = 2000;             ///< that the store takes from all gateways
    std::chrono::milliseconds drainTimeout {8000}; ///< from SIGTERM to the end of the process
    SecondAttempts::Settings secondAttempts;       ///< of slow calls; none by default
    std::optional<RolloutSettings> rollouts;       ///< none: orders of roll-outs are not read

    static Result<GatewaySettings> fromFile(const std::string &path);
    /// \brief On failure the message lists every invalid setting with its location and allowed
    /// values.
    static Result<GatewaySettings> read(SettingsReader &reader);
};

} // namespace foxtailring
