#include "foxtailring/decisions/admission/RecentShares.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

namespace {

// Bursts last for some seconds; what is usual is taken over a minute.
constexpr double recentSeconds = 5;
constexpr double usualSeconds = 60;
constexpr double maxShareFactor = 2;
// With fewer recent requests, chance decides the shares.
constexpr double minRecentTotal = 8;
// Names with fewer recent requests than this do not count for the equal share.
constexpr double minRecentCount = 0.2;
constexpr std::size_t maxNames = 1024;

double decay(Duration elapsed, double seconds)
{
    return std::exp(-std::chrono::duration<double>(elapsed).count() / seconds);
}

} // namespace

RecentShares::Count RecentShares::decayed(const Count &count, TimePoint now)
{
    const Duration elapsed = now - count.at;
    return {count.recent * decay(elapsed, recentSeconds),
            count.usual * decay(elapsed, usualSeconds), now};
}

void RecentShares::record(std::string_view name, TimePoint now)
{
    if (m_counts.size() >= maxNames && m_counts.find(name) == m_counts.end())
        prune(now);
    for (Count *count : {&m_counts[std::string(name)], &m_total}) {
        *count = decayed(*count, now);
        count->recent += 1;
        count->usual += 1;
    }
}

bool RecentShares::isBeyondShare(std::string_view name, TimePoint now) const
{
    const auto found = m_counts.find(name);
    const Count total = decayed(m_total, now);
    if (found == m_counts.end() || total.recent < minRecentTotal)
        return false;
    const Count own = decayed(found->second, now);
    const auto active = std::count_if(m_counts.begin(), m_counts.end(), [now](const auto &entry) {
        return decayed(entry.second, now).recent >= minRecentCount;
    });
    const double equalShare = 1.0 / static_cast<double>(std::max<std::ptrdiff_t>(active, 1));
    const double usualShare = (own.usual - own.recent) / std::max(total.usual - total.recent, 1.0);
    return own.recent / total.recent > maxShareFactor * std::max(equalShare, usualShare);
}

void RecentShares::prune(TimePoint now)
{
    std::erase_if(m_counts, [now](const auto &entry) {
        return decayed(entry.second, now).recent < minRecentCount;
    });
    if (m_counts.size() >= maxNames)
        m_counts.erase(m_counts.begin());
}

} // namespace foxtailring
