#include "foxtailring/decisions/StopScanner.h"

#include <algorithm>

namespace foxtailring {

StopScanner::StopScanner(std::vector<std::string> stops)
    : m_stops(std::move(stops))
{
    std::erase_if(m_stops, [](const std::string &stop) { return stop.empty(); });
    for (const auto &stop : m_stops)
        m_longest = std::max(m_longest, stop.size());
}

void StopScanner::feed(std::string_view text)
{
    if (m_found || m_stops.empty())
        return;
    m_tail += text;
    m_found = std::any_of(m_stops.begin(), m_stops.end(), [&](const std::string &stop) {
        return m_tail.find(stop) != std::string::npos;
    });
    if (m_tail.size() >= m_longest)
        m_tail.erase(0, m_tail.size() - (m_longest - 1));
}

} // namespace foxtailring
