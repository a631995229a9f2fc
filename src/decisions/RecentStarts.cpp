#include "foxtailring/decisions/RecentStarts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtailring {

namespace {

constexpr std::size_t maxPartsPerGeneration = 2048;
constexpr std::chrono::seconds maxGenerationAge {30};
// Crashes of one part come seconds apart, so starts of the last seconds tell the most.
constexpr std::chrono::seconds halfLife {15};

} // namespace

void RecentStarts::record(const std::string &part, TimePoint now)
{
    if (m_current.size() >= maxPartsPerGeneration || now - m_currentSince >= maxGenerationAge) {
        m_previous = std::exchange(m_current, {});
        m_currentSince = now;
    }
    const double before = weight(part, now);
    m_current[part] = {before + 1, now};
}

std::optional<TimePoint> RecentStarts::lastStart(const std::string &part) const
{
    const Starts *starts = find(part);
    return starts ? std::optional(starts->latest) : std::nullopt;
}

double RecentStarts::weight(const std::string &part, TimePoint now) const
{
    const Starts *starts = find(part);
    return starts ? starts->weight * weightOf(starts->latest, now) : 0;
}

double RecentStarts::weightOf(TimePoint start, TimePoint now)
{
    const std::chrono::duration<double> age = std::max(now - start, Duration {0});
    return std::exp2(-age / halfLife);
}

const RecentStarts::Starts *RecentStarts::find(const std::string &part) const
{
    for (const StartsByPart *parts : {&m_current, &m_previous}) {
        const auto found = parts->find(part);
        if (found != parts->end())
            return &found->second;
    }
    return nullptr;
}

} // namespace foxtailring
