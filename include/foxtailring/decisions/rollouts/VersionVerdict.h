#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/rollouts/VersionFigures.h"

#include <cstdint>
#include <limits>
#include <string>

namespace foxtailring {

/// \brief How a new version compares with the old ones.
struct VersionVerdict
{
    enum class Grade : std::uint8_t {
        Good,      ///< nothing speaks against it
        Uncertain, ///< rather slow answers, which may be chance, or bad ones of one zone
        Suspect,   ///< too bad for chance, but not beyond doubt
        Bad,
    };

    Grade grade = Grade::Good;
    std::string aspect; ///< that decided; empty if good
    VersionFigures newFigures;
    VersionFigures oldFigures;
    Duration usualTime {0}; ///< of the slowest route of the old version
    /// Of the new version on a route that the old one serves; a large number without such a route.
    std::uint64_t fewestAnswers = std::numeric_limits<std::uint64_t>::max();
};

} // namespace foxtailring
