#include "foxtailring/decisions/RecentStarts.h"

#include <utility>

namespace foxtailring {

namespace {

constexpr std::size_t maxPartsPerGeneration = 2048;
constexpr std::chrono::seconds maxGenerationAge {30};

} // namespace

void RecentStarts::record(const std::string &part, TimePoint now)
{
    if (m_current.size() >= maxPartsPerGeneration || now - m_currentSince >= maxGenerationAge) {
        m_previous = std::exchange(m_current, {});
        m_currentSince = now;
    }
    m_current[part] = now;
}

std::optional<TimePoint> RecentStarts::lastStart(const std::string &part) const
{
    for (const Times *times : {&m_current, &m_previous}) {
        const auto found = times->find(part);
        if (found != times->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace foxtailring
