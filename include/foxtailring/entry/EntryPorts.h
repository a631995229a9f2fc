#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Ports that an entry listens on.
struct EntryPorts
{
    std::uint16_t callers = 0;
    std::uint16_t admin = 0;
};

} // namespace foxtailring
