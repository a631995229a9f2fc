#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief What one process observed of the speed of the engine at an address.
struct SpeedReading
{
    std::string service;
    std::string address;        ///< IP:PORT
    Duration eventInterval {0}; ///< typical time between two events of a run there
    std::uint32_t runs = 0;     ///< that were observed

    bool operator==(const SpeedReading &) const = default;
};

} // namespace foxtailring
