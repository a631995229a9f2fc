#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Ports that a gateway listens on.
struct GatewayPorts
{
    std::uint16_t callers = 0;
    std::uint16_t ready = 0;
    std::uint16_t metrics = 0;
};

} // namespace foxtailring
