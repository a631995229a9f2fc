#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/generation/Liveness.h"
#include "foxtailring/decisions/generation/LivenessSettings.h"

namespace foxtailring {

/// \brief Failure detector for the peer of a stream, driven by frames, resets and timeouts.
class LivenessMonitor
{
public:
    LivenessMonitor(LivenessSettings settings, TimePoint now);

    /// \brief Any frame clears a suspicion; Lost is final.
    void onFrameReceived(TimePoint now);
    /// \brief A reset makes the peer Suspected at once, without waiting for the timeout.
    void onStreamReset(TimePoint now);
    /// \brief For use when the peer is known to have ended.
    void markLost() { m_state = Liveness::Lost; }

    /// \brief Applies the timeouts and returns the new state. A call moves at most one step, so the
    /// peer is always Suspected before it is Lost.
    Liveness check(TimePoint now);
    Liveness state() const { return m_state; }
    /// \brief Time at which check() changes the state unless a frame arrives; max when Lost.
    TimePoint nextChangeAt() const;

private:
    LivenessSettings m_settings;
    Liveness m_state = Liveness::Alive;
    TimePoint m_lastFrameAt;
    TimePoint m_suspectedAt;
};

} // namespace foxtailring
