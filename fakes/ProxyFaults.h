#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace foxtailring::fakes {

/// \brief Faults of one route of the proxy that stay on until they are reset.
struct ProxyFaults
{
    bool refuse = false;                        ///< new connections are refused
    bool freeze = false;                        ///< bytes are held back until unfrozen
    bool dropToTarget = false;                  ///< bytes of callers are swallowed
    bool dropToClient = false;                  ///< bytes of the target are swallowed
    std::chrono::milliseconds delay {0};        ///< added to each chunk in each direction
    std::optional<std::uint64_t> truncateAfter; ///< bytes to the client before a connection ends
};

} // namespace foxtailring::fakes
