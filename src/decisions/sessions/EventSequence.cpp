#include "foxtailring/decisions/sessions/EventSequence.h"

#include <algorithm>

namespace foxtailring {

namespace {

// Unsigned, since the difference of two ids may exceed their type.
std::uint64_t distance(std::int64_t from, std::int64_t to)
{
    return static_cast<std::uint64_t>(to) - static_cast<std::uint64_t>(from);
}

} // namespace

EventSequence::EventSequence(std::optional<std::int64_t> lastId)
    : m_lastId(lastId)
{
}

// A faulty server may leave events out or send them out of order, so a step larger than all before
// is doubted, within an attempt too. Where a second server names the same event as the next one,
// the ids rise so. If steps vary, or none is known since the caller itself resumed the stream,
// nothing proves a gap.
bool EventSequence::isBeyondGap(std::int64_t id) const
{
    const bool isLarger = m_lastId && m_step && m_isRegular && distance(*m_lastId, id) > *m_step;
    return isLarger && m_doubtedId != id;
}

// Numbers from 1 on are the usual case, so the first event stands for a step until one is seen.
void EventSequence::record(std::int64_t id, bool isFirst)
{
    const bool isConfirmed = m_doubtedId == id;
    if (!m_lastId) {
        m_step = distance(0, std::max<std::int64_t>(id, 1));
    } else if (!isFirst || isConfirmed) {
        const std::uint64_t step = distance(*m_lastId, id);
        m_isRegular = !m_isStepSeen || (m_isRegular && step == *m_step);
        m_step = step;
        m_isStepSeen = true;
    }
    m_lastId = id;
    m_doubtedId.reset();
}

} // namespace foxtailring
