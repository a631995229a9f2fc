#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/configuration/ServiceResource.h"
#include "foxtailring/transport/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace foxtailring {

class SettingsReader;

/// \brief Settings of one sidecar process.
struct SidecarSettings
{
    std::string nodeId;
    std::string region;
    std::string availabilityZone;
    std::string service;
    ServiceType kind = ServiceType::Generation;
    Endpoint listen;                  ///< inner HTTP/2 port
    Endpoint admin;                   ///< admin HTTP/1.1 port
    Endpoint backend;                 ///< engine or plain service
    std::optional<Endpoint> platform; ///< key-value service; claims need it
    std::size_t threads = 2;
    bool requireConfig = true; ///< refuse work until a configuration is in force

    std::uint32_t capacity = 32;   ///< work at once, when the backend server reports none
    std::uint32_t queueBound = 64; ///< work accepted beyond the capacity
    std::size_t journalBytes = 64 * 1024 * 1024;
    std::size_t maxRecords = 100'000; ///< generation records

    std::chrono::milliseconds progressInterval {250};
    std::chrono::milliseconds probeTimeout {1'000};
    std::chrono::milliseconds loadInterval {250};
    std::chrono::milliseconds cacheEventsInterval {1'000};
    std::chrono::milliseconds ackTimeout {3'000}; ///< tokens unacknowledged for that long: cut
    std::chrono::milliseconds detachedTimeout {30'000}; ///< no entry attached: cancel
    std::chrono::milliseconds journalRetention {120'000};
    std::chrono::milliseconds fenceAge {600'000};
    std::chrono::milliseconds recordRetention {600'000};
    std::chrono::milliseconds callTimeout {30'000}; ///< of a call without a deadline
    std::chrono::milliseconds retryAfter {1'000};   ///< advice in refusals
    std::chrono::milliseconds claimBatch {20};
    std::chrono::milliseconds claimRetention {86'400'000};
    std::chrono::milliseconds drainLimit {600'000};

    /// \brief Reads a YAML file; the error lists every fault, one a line.
    static Result<SidecarSettings> fromFile(const std::string &path);
    static Result<SidecarSettings> read(SettingsReader &reader);
};

} // namespace foxtailring
