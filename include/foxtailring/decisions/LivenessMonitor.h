#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/Liveness.h"
#include "foxtailring/decisions/LivenessSettings.h"

namespace foxtailring {

/// \brief Classifies the other end of a stream by its frames and resets (design section 7.2).
class LivenessMonitor
{
public:
    LivenessMonitor(LivenessSettings settings, TimePoint now);

    /// \brief Any frame arrived: the other end is alive unless it is lost already.
    void onFrameReceived(TimePoint now);
    /// \brief The stream was cut: suspected at once.
    void onStreamReset(TimePoint now);
    /// \brief There is proof that the other end is gone.
    void markLost() { m_state = Liveness::Lost; }

    /// \brief Applies the time limits. Suspicion always comes before loss.
    Liveness check(TimePoint now);
    Liveness state() const { return m_state; }
    /// \brief When check() may change the state unless something arrives.
    TimePoint nextChangeAt() const;

private:
    LivenessSettings m_settings;
    Liveness m_state = Liveness::Alive;
    TimePoint m_lastFrameAt;
    TimePoint m_suspectedAt;
};

} // namespace foxtailring
