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

// A connection delivers all that was sent, in order, so nothing is missing within an attempt. Where
// another attempt goes on, a step larger than all before proves that events are missing. If steps
// vary, or none is known since the caller itself resumed the stream, nothing proves it: the server
// was told the last event and says that this one is the next.
bool EventSequence::isBeyondGap(std::int64_t id, bool isFirst) const
{
    return isFirst && m_lastId && m_step && m_isRegular && distance(*m_lastId, id) > *m_step;
}

// Numbers from 1 on are the usual case, so the first event stands for a step until one is seen.
void EventSequence::record(std::int64_t id, bool isFirst)
{
    if (!m_lastId) {
        m_step = distance(0, std::max<std::int64_t>(id, 1));
    } else if (!isFirst) {
        const std::uint64_t step = distance(*m_lastId, id);
        m_isRegular = !m_isStepSeen || (m_isRegular && step == *m_step);
        m_step = step;
        m_isStepSeen = true;
    }
    m_lastId = id;
}

} // namespace foxtailring
