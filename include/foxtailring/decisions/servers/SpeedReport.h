#pragma once

#include "foxtailring/decisions/servers/SpeedReading.h"

#include <vector>

namespace foxtailring {

/// \brief What one process tells the others about the speed of engines.
struct SpeedReport
{
    std::vector<SpeedReading> readings; ///< sorted by service and address

    bool operator==(const SpeedReport &) const = default;
};

} // namespace foxtailring
