#pragma once

#include "foxtailring/base/Clock.h"

#include <deque>
#include <utility>

namespace foxtailring::fakes {

/// \brief A value that readers see as it was some time ago. Not thread-safe.
template <typename T>
class Lagged
{
public:
    Lagged(T initial, Duration lag)
        : m_visible(std::move(initial))
        , m_lag(lag)
    {
    }

    void set(TimePoint now, T value)
    {
        at(now); // Keeps the pending values few when nobody reads.
        m_pending.emplace_back(now + m_lag, std::move(value));
    }

    const T &at(TimePoint now)
    {
        while (!m_pending.empty() && m_pending.front().first <= now) {
            m_visible = std::move(m_pending.front().second);
            m_pending.pop_front();
        }
        return m_visible;
    }

private:
    T m_visible;
    Duration m_lag;
    std::deque<std::pair<TimePoint, T>> m_pending;
};

} // namespace foxtailring::fakes
