#include "foxtailring/decisions/generation/LivenessMonitor.h"

namespace foxtailring {

LivenessMonitor::LivenessMonitor(LivenessSettings settings, TimePoint now)
    : m_settings(settings)
    , m_lastFrameAt(now)
    , m_suspectedAt(now)
{
}

void LivenessMonitor::onFrameReceived(TimePoint now)
{
    m_lastFrameAt = now;
    if (m_state == Liveness::Suspected)
        m_state = Liveness::Alive;
}

void LivenessMonitor::onStreamReset(TimePoint now)
{
    if (m_state != Liveness::Alive)
        return;
    m_state = Liveness::Suspected;
    m_suspectedAt = now;
}

Liveness LivenessMonitor::check(TimePoint now)
{
    if (now < nextChangeAt())
        return m_state;
    if (m_state == Liveness::Alive) {
        m_state = Liveness::Suspected;
        // From now rather than from the expiry of the timeout: if this process was paused, the peer
        // still gets the whole reattach window.
        m_suspectedAt = now;
    } else if (m_state == Liveness::Suspected) {
        m_state = Liveness::Lost;
    }
    return m_state;
}

TimePoint LivenessMonitor::nextChangeAt() const
{
    switch (m_state) {
    case Liveness::Alive:
        return m_lastFrameAt + m_settings.suspectAfter;
    case Liveness::Suspected:
        return m_suspectedAt + m_settings.reattachWindow;
    case Liveness::Lost:
        break;
    }
    return TimePoint::max();
}

} // namespace foxtailring
