#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <optional>

namespace foxtailring {

/// \brief Why a run found no room at the engines that were asked.
struct RoomExplanation
{
    std::optional<std::uint32_t> urgency; ///< none: equal in the whole service
    bool isLate = false;                  ///< the objective can't be met any more
    double maxMemoryShare = 0;            ///< of an engine's memory that the run may fill
    double meanMemoryShare = 0;           ///< in use at engines that reported lately
    std::uint32_t withoutMemory = 0;      ///< engines that had too little memory left
    std::uint32_t withPromptsAhead = 0;   ///< engines that would begin with the run too late
    std::uint32_t leftToOthers = 0;       ///< engines that had room, which is left to other runs
    Duration returnAfter {0};             ///< told to the caller; 0: the run waits at the gateway
};

} // namespace foxtailring
