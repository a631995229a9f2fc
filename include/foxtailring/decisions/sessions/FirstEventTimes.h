#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief How long a run took to its first event, against what was expected when it was sent.
struct FirstEventTimes
{
    std::string service;
    std::string serverId;
    Duration expected {0};   ///< at the engine that sent the event, from the prompts before the run
    Duration real {0};       ///< the same
    Duration engineWait {0}; ///< part of it in which reports showed the run waiting
    std::uint32_t moves = 0; ///< of the run while it waited
};

} // namespace foxtailring
