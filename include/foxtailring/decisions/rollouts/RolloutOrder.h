#pragma once

#include "foxtailring/base/Clock.h"

#include <string>

namespace foxtailring {

/// \brief An operator's order to move a service to another version.
struct RolloutOrder
{
    std::string service;
    std::string version;
    Duration ramp {0}; ///< time limit of the roll-out

    bool operator==(const RolloutOrder &) const = default;
};

} // namespace foxtailring
