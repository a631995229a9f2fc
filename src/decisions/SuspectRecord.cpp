#include "foxtailring/decisions/SuspectRecord.h"

#include "foxtailring/decisions/CrashVerdict.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace foxtailring {

TimePoint SuspectRecord::latestCrash() const
{
    TimePoint latest;
    for (const auto &[incarnation, crash] : crashes)
        latest = std::max(latest, crash.at.latest);
    return latest;
}

bool SuspectRecord::hasOwnCrash() const
{
    return std::any_of(crashes.begin(), crashes.end(),
                       [](const auto &crash) { return crash.second.isOwn; });
}

// Servers of the zone that requests with the same suspect have crashed do not speak for it.
bool SuspectRecord::isZoneFailure(const Crash &crash) const
{
    if (!crash.isOwn)
        return crash.isZoneFailure;
    const auto unexplained = static_cast<std::size_t>(
        std::count_if(crash.failedPeers.begin(), crash.failedPeers.end(),
                      [this](const auto &peer) { return !crashes.contains(peer); }));
    return unexplained > 0 && CrashVerdict::areMost(unexplained, crash.askedPeers);
}

std::string SuspectRecord::evidenceText() const
{
    std::set<std::string_view> names;
    for (const auto &[incarnation, crash] : crashes)
        names.insert(crashEvidenceName(crash.evidence));
    std::string text;
    for (const std::string_view name : names)
        text.append(text.empty() ? "" : " ").append(name);
    return text;
}

} // namespace foxtailring
