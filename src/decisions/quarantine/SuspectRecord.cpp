#include "foxtailring/decisions/quarantine/SuspectRecord.h"

#include "foxtailring/decisions/quarantine/CrashVerdict.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string_view>
#include <utility>

namespace foxtailring {

namespace {

// Servers that are lost with their zone end their connections within a few ms. A request that
// crashes servers is sent to one after the other, and begins to run at each.
constexpr std::chrono::milliseconds maxZoneLossSpread {20};
constexpr std::uint32_t maxDoublings = 8; ///< of the time of a quarantine

} // namespace

// Several processes see the end of one server, some of them late: the first sighting counts. What
// this process saw itself is exact, and reports do not blur it.
void SuspectRecord::Crash::add(const Crash &sighting)
{
    const bool isSurelyEarlier = sighting.at.latest < at.earliest;
    const bool isSurelyLater = sighting.at.earliest > at.latest;
    const bool isMoreExact = sighting.isOwn && !isOwn && !isSurelyLater;
    if (isSurelyEarlier || isMoreExact)
        at = sighting.at;
    else if (!isOwn && !sighting.isOwn)
        at = {std::min(at.earliest, sighting.at.earliest), std::min(at.latest, sighting.at.latest)};
    if (service.empty())
        service = sighting.service;
    if (sighting.isOwn && !std::exchange(isOwn, true)) {
        evidence = sighting.evidence;
        askedPeers = sighting.askedPeers;
        failedPeers = sighting.failedPeers;
    }
    newsAt = std::max(newsAt, sighting.newsAt);
    isZoneFailure = isZoneFailure && sighting.isZoneFailure;
    isOneLoss = isOneLoss || sighting.isOneLoss;
}

void SuspectRecord::Quarantine::begin(Duration shortest, Duration longest, TimePoint now)
{
    const auto doublings = std::min(count, maxDoublings);
    ++count;
    isInForce = true;
    since = now;
    until = now + std::min(shortest * (1U << doublings), longest);
    trialUntil = {};
}

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
    return isExcusedByOneLoss(crash) || hasOtherFailures(crash);
}

bool SuspectRecord::isExcusedByOneLoss(const Crash &crash) const
{
    if (hasOtherFailures(crash))
        return false;
    if (!crash.isOwn)
        return crash.isZoneFailure && crash.isOneLoss && !hasCrashAlone();
    return !crash.failedPeers.empty()
        && CrashVerdict::areMost(crash.failedPeers.size(), crash.askedPeers) && areAllOfOneLoss();
}

bool SuspectRecord::hasOtherFailures(const Crash &crash) const
{
    if (!crash.isOwn)
        return crash.isZoneFailure && !crash.isOneLoss;
    const auto others = static_cast<std::size_t>(
        std::count_if(crash.failedPeers.begin(), crash.failedPeers.end(),
                      [this](const std::string &peer) { return !crashes.contains(peer); }));
    return others > 0 && CrashVerdict::areMost(others, crash.askedPeers);
}

bool SuspectRecord::hasCrashAlone() const
{
    return std::any_of(crashes.begin(), crashes.end(), [this](const auto &crash) {
        const bool isOneLoss = !crash.second.isOwn && crash.second.isOneLoss;
        return !isOneLoss && !hasOtherFailures(crash.second);
    });
}

bool SuspectRecord::hasAllCrashesOf(const SuspectRecord &other) const
{
    return std::all_of(other.crashes.begin(), other.crashes.end(),
                       [this](const auto &crash) { return crashes.contains(crash.first); });
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
