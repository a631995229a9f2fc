#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/CallKind.h"

#include <optional>

namespace foxtailring {

/// \brief Which requests a process that is about to end still takes.
///
/// Answers the load of a rolling restart: the balancer goes on sending for seconds, and a stream
/// that is taken late is cut when the process ends. Refused at once, its caller goes to another
/// process. Not thread-safe.
class DrainAdmission
{
public:
    /// \brief The process was told to end.
    void begin(TimePoint now) { m_startedAt = m_startedAt.value_or(now); }
    bool isDraining() const { return m_startedAt.has_value(); }
    /// \brief Whether a request that arrives now can be expected to end in time.
    bool accepts(CallKind kind, TimePoint now) const;

private:
    std::optional<TimePoint> m_startedAt;
};

} // namespace foxtailring
