#include "foxtailring/decisions/generation/StopScanner.h"

#include <algorithm>

namespace foxtailring {

StopScanner::StopScanner(std::vector<std::string> stopSequences)
    : m_stopSequences(std::move(stopSequences))
{
    std::erase_if(m_stopSequences, [](const std::string &stop) { return stop.empty(); });
    for (const auto &stop : m_stopSequences)
        m_maxStopBytes = std::max(m_maxStopBytes, stop.size());
}

void StopScanner::feed(std::string_view text)
{
    if (m_found || m_stopSequences.empty())
        return;
    m_tail += text;
    m_found =
        std::any_of(m_stopSequences.begin(), m_stopSequences.end(), [&](const std::string &stop) {
            return m_tail.find(stop) != std::string::npos;
        });
    if (m_tail.size() >= m_maxStopBytes)
        m_tail.erase(0, m_tail.size() - (m_maxStopBytes - 1));
}

} // namespace foxtailring
