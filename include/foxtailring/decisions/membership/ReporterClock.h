#pragma once

#include "foxtailring/decisions/limits/TimeBounds.h"

#include <chrono>
#include <cstdint>

namespace foxtailring {

/// \brief Bounds of what is added to a time of another process, in milliseconds, to get the time on
/// the clock of this one.
class ReporterClock
{
public:
    ReporterClock(Duration earliestOffset, Duration latestOffset);

    /// \brief Clock that showed \a ms at a time within \a bounds.
    static ReporterClock thatShowed(std::int64_t ms, TimeBounds bounds);

    /// \brief Takes over the bounds of \a other where they are narrower. Bounds that contradict
    /// these ones are left out.
    void narrow(const ReporterClock &other);
    TimeBounds boundsOf(std::int64_t ms) const;

private:
    Duration m_earliestOffset;
    Duration m_latestOffset;
};

} // namespace foxtailring
