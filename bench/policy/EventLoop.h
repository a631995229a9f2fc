#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace foxtailring::bench {

/// \brief Events in order of a clock that only they move.
class EventLoop
{
public:
    using Action = std::function<void()>;

    TimePoint now() const { return m_now; }
    void at(TimePoint time, Action action);
    void after(Duration delay, Action action) { at(m_now + delay, std::move(action)); }
    /// \brief Runs \a action every \a interval, first after \a delay.
    void every(Duration interval, Duration delay, const Action &action);
    /// \brief Runs all events up to \a end and leaves the clock there.
    void runUntil(TimePoint end);

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t order = 0;
        Action action;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    TimePoint m_now = TimePoint {} + std::chrono::hours(1);
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
};

} // namespace foxtailring::bench
