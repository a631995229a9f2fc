#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>

namespace foxtailring {

/// \brief Decides which requests wait while a process that just started reads its configuration.
///
/// If all processes restart, their callers reconnect within milliseconds, and most of them try only
/// once, while the first read of the store takes a round trip.
class StartupAdmission
{
public:
    /// \param maxWait maximum time after the start for which requests wait
    StartupAdmission(TimePoint startedAt, Duration maxWait)
        : m_end(startedAt + maxWait)
    {
    }

    /// \brief True if a request may wait in addition to \a waiting others; otherwise it is refused.
    bool mayWait(std::size_t waiting, TimePoint now) const;
    /// \brief Time from which on no request waits.
    TimePoint end() const { return m_end; }

private:
    TimePoint m_end;
};

} // namespace foxtailring
