#include "EventLoop.h"

#include <utility>

namespace foxtailring::bench {

void EventLoop::at(TimePoint time, Action action)
{
    m_events.push(Event {time, ++m_order, std::move(action)});
}

void EventLoop::every(Duration interval, Duration delay, const Action &action)
{
    after(delay, [this, interval, action] {
        action();
        every(interval, interval, action);
    });
}

void EventLoop::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = end;
}

} // namespace foxtailring::bench
