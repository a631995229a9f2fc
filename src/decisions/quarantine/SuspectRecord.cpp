#include "foxtailring/decisions/quarantine/SuspectRecord.h"

#include "foxtailring/decisions/quarantine/CrashVerdict.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string_view>

namespace foxtailring {

namespace {

// Servers that are lost with their zone end their connections within a few ms. A request that
// crashes servers is sent to one after the other, and begins to run at each.
constexpr std::chrono::milliseconds maxZoneLossSpread {20};

} // namespace

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

// Servers of the zone that requests with the same suspect have crashed do not speak for it. One
// that many requests share at once may have been at all servers of a zone that was lost, and only
// there.
bool SuspectRecord::isZoneFailure(const Crash &crash) const
{
    if (!crash.isOwn)
        return crash.isZoneFailure;
    const bool mayBeZoneLoss = areAllOfOneLoss();
    const auto isUnexplained = [&](const std::string &peer) {
        const auto found = crashes.find(peer);
        return found == crashes.end() || (mayBeZoneLoss && &found->second != &crash);
    };
    const auto unexplained = static_cast<std::size_t>(
        std::count_if(crash.failedPeers.begin(), crash.failedPeers.end(), isUnexplained));
    return unexplained > 0 && CrashVerdict::areMost(unexplained, crash.askedPeers);
}

// Bounds of reported crashes are wider, so those count as before.
bool SuspectRecord::areAllOfOneLoss() const
{
    TimeBounds all {TimePoint::max(), TimePoint::min()};
    for (const auto &[incarnation, crash] : crashes) {
        all.earliest = std::min(all.earliest, crash.at.earliest);
        all.latest = std::max(all.latest, crash.at.latest);
    }
    return all.latest - all.earliest <= maxZoneLossSpread;
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
