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
    std::string version;     ///< of its software; empty: unknown
    std::uint32_t slots = 1; ///< requests that it executes concurrently
    bool isDraining = false;
    std::int64_t startedAtMs = 0; ///< start time, Unix ms; 0: not given

    /// \brief True if \a other is the same server and has not been restarted in between. Compares
    /// the addresses if a start time is not given.
    bool isSameStart(const BackendInfo &other) const
    {
        const bool areStartsGiven = startedAtMs > 0 && other.startedAtMs > 0;
        return id == other.id
            && (areStartsGiven ? startedAtMs == other.startedAtMs : address == other.address);
    }
};

} // namespace foxtailring
