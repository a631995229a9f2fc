#pragma once

#include "foxtailring/base/Clock.h"

namespace foxtailring {

/// \brief When something happened, on the clock of this process: not before \a earliest and not
/// after \a latest. Both are the same for what this process saw.
struct TimeBounds
{
    TimePoint earliest;
    TimePoint latest;
};

} // namespace foxtailring
