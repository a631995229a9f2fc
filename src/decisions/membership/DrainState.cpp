#include "foxtailring/decisions/membership/DrainState.h"

#include <cassert>
#include <utility>

namespace foxtailring {

DrainState::DrainState(Duration limit)
    : m_limit(limit)
{
}

DrainPhase DrainState::phase() const
{
    const std::lock_guard lock(m_mutex);
    return m_phase;
}

bool DrainState::begin(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (m_phase != DrainPhase::Serving)
        return false;
    m_phase = DrainPhase::Draining;
    m_deadline = now + m_limit;
    return true;
}

bool DrainState::setHold(bool on)
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_isHeld, on) != on;
}

bool DrainState::takesNewWork() const
{
    const std::lock_guard lock(m_mutex);
    return m_phase == DrainPhase::Serving && !m_isHeld;
}

// Checks the phase and counts under one lock, so no work starts once the process is drained.
Result<Done> DrainState::admitWork()
{
    const std::lock_guard lock(m_mutex);
    if (m_phase != DrainPhase::Serving || m_isHeld)
        return Error {ErrorCode::Draining, "the server is draining and accepts no new work"};
    ++m_workInProgress;
    return Done {};
}

void DrainState::endWork()
{
    const std::lock_guard lock(m_mutex);
    assert(m_workInProgress > 0);
    --m_workInProgress;
}

std::size_t DrainState::workInProgress() const
{
    const std::lock_guard lock(m_mutex);
    return m_workInProgress;
}

Result<Done> DrainState::admitAttach() const
{
    const std::lock_guard lock(m_mutex);
    if (m_phase == DrainPhase::Drained)
        return Error {ErrorCode::Draining, "the server is about to exit"};
    return Done {};
}

DrainPhase DrainState::update(std::size_t unacknowledged, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const bool done = (m_workInProgress == 0 && unacknowledged == 0) || now >= m_deadline;
    if (m_phase == DrainPhase::Draining && done)
        m_phase = DrainPhase::Drained;
    return m_phase;
}

} // namespace foxtailring
