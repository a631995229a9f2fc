#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief Why a run that waits at its engine is to be moved to another one, or was not.
struct RunMoveExplanation
{
    enum class Decision : std::uint8_t {
        Searching, ///< other engines are asked
        Moved,     ///< sent to another engine
        Kept,      ///< no engine that was asked is expected to be sooner, or no retry is left
    };

    Decision decision = Decision::Searching;
    std::string service;
    std::string serverId;           ///< engine at which the run waits
    double promptsAhead = 0;        ///< there; one in processing counts as half
    double relativeDuration = 1;    ///< of work there; 1: as long as usual
    Duration waited {0};            ///< there
    Duration expectedHere {0};      ///< until the first event if the run stays
    Duration expectedElsewhere {0}; ///< at the best engine that was asked; 0: none was asked yet
};

} // namespace foxtailring
