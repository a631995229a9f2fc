#include "foxtailring/decisions/limits/RequestWindow.h"

#include <algorithm>

namespace foxtailring {

namespace {

// Longer windows hold one request, and the latest one is always kept.
constexpr std::chrono::seconds retention {4};

} // namespace

void RequestWindow::record(TimePoint now)
{
    while (!m_times.empty() && m_times.front() <= now - retention)
        m_times.pop_front();
    m_times.push_back(now);
}

std::size_t RequestWindow::count(Duration window, TimePoint now) const
{
    const auto first = std::upper_bound(m_times.begin(), m_times.end(), now - window);
    return static_cast<std::size_t>(m_times.end() - first);
}

TimePoint RequestWindow::freeAt(std::uint32_t quota, Duration window, TimePoint now) const
{
    if (quota == 0)
        return TimePoint::max();
    if (m_times.empty())
        return now;
    const TimePoint spaced = m_times.back() + window / (2 * quota);
    if (count(window, now) < quota)
        return std::max(now, spaced);
    return std::max(spaced, m_times[m_times.size() - quota] + window);
}

bool RequestWindow::isEmpty(TimePoint now) const
{
    return m_times.empty() || m_times.back() <= now - retention;
}

} // namespace foxtailring
