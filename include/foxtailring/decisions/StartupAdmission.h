#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>

namespace foxtailring {

/// \brief Which requests wait for a process that has just started to learn its configuration.
///
/// Answers the load of a fleet whose processes all start anew: their callers come back within
/// milliseconds, most of them once only, while the first read of the store takes a round trip.
class StartupAdmission
{
public:
    /// \param maxWait a request waits until this long after the start
    StartupAdmission(TimePoint startedAt, Duration maxWait)
        : m_end(startedAt + maxWait)
    {
    }

    /// \brief Whether one more request may wait beside \a waiting others; if not it is refused.
    bool mayWait(std::size_t waiting, TimePoint now) const;
    /// \brief Nothing waits from then on.
    TimePoint end() const { return m_end; }

private:
    TimePoint m_end;
};

} // namespace foxtailring
