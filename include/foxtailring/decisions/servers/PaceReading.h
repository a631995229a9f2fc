#pragma once

#include "foxtailring/base/Clock.h"

#include <optional>

namespace foxtailring {

/// \brief How long work takes at a backend server, as known at one moment.
struct PaceReading
{
    /// As a multiple of what is usual for the server's service.
    double relativeDuration = 1;
    std::optional<Duration> toldAge; ///< of the pace that the server tells; none: it tells none
};

} // namespace foxtailring
