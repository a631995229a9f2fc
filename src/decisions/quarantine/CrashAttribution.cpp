#include "foxtailring/decisions/quarantine/CrashAttribution.h"

#include "foxtailring/decisions/quarantine/SuspectStarts.h"
#include "foxtailring/decisions/quarantine/SuspectTable.h"
#include "foxtailring/decisions/servers/EngineFailures.h"
#include "foxtailring/protocol/RequestDigest.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace foxtailring {

namespace {

// Two half-lives after a single start, it says nothing any more.
constexpr double minStartWeight = 0.25;

// Two requests that are lost together excuse each other. A sound one is not lost so often without
// being answered once, so then both are to blame.
constexpr std::size_t maxSharedCrashes = 6;

bool areRequests(const std::string &one, const std::string &other)
{
    return RequestDigest::isDigest(one) && RequestDigest::isDigest(other);
}

bool mayExcuse(const SuspectRecord &record)
{
    return record.crashes.size() < maxSharedCrashes;
}

// A part is blamed until it is known that one request crashes servers whatever its parts are.
bool mayExplainParts(const std::string &name, const SuspectRecord &record)
{
    return !RequestDigest::isDigest(name)
        || record.crashes.size() >= CrashAttribution::minRequestCrashes;
}

} // namespace

CrashAttribution::CrashAttribution(const SuspectTable &suspects, const EngineFailures &failures,
                                   const SuspectStarts &starts)
    : m_suspects(suspects)
    , m_failures(failures)
    , m_starts(starts)
{
}

// Crashes that may have happened at the same moment count once for a prompt part, which may be at
// all servers of a zone that fails. A whole request is sent to one after the other, unless many
// callers send it; then its recent answers raise the number that it needs.
std::size_t CrashAttribution::crashCount(const std::string &name, const SuspectRecord &record) const
{
    std::vector<TimeBounds> times;
    for (const auto &[incarnation, crash] : record.crashes) {
        if (!record.isZoneFailure(crash) && isAtMostFailures(record, crash))
            times.push_back(crash.at);
    }
    std::sort(times.begin(), times.end(),
              [](const auto &one, const auto &other) { return one.latest < other.latest; });
    const bool isRequest = RequestDigest::isDigest(name);
    std::size_t count = 0;
    TimeBounds counted;
    for (const TimeBounds &at : times) {
        if (count > 0 && !isRequest && !m_failures.isSurelyLater(at, counted))
            continue;
        ++count;
        counted = at;
    }
    return count;
}

// True if the suspect was at most of the servers of the service that failed around the crash. When
// a zone is lost, few of its servers process any one suspect; one that crashes servers is at all
// that fail.
bool CrashAttribution::isAtMostFailures(const SuspectRecord &record,
                                        const SuspectRecord::Crash &crash) const
{
    const auto suspected = static_cast<std::size_t>(
        std::count_if(record.crashes.begin(), record.crashes.end(), [&](const auto &other) {
            return m_failures.mayBeSameMoment(other.second.at, crash.at);
        }));
    const std::size_t others =
        m_failures.count(crash.at, crash.service, [&record](const std::string &incarnation) {
            return !record.crashes.contains(incarnation);
        });
    return suspected > others;
}

template <typename Visit>
bool CrashAttribution::anyWithSameCrashes(const std::string &name, const SuspectRecord &record,
                                          Visit visit) const
{
    if (record.crashes.empty())
        return false;
    for (const std::string &other : m_suspects.suspectsOf(record.crashes.begin()->first)) {
        const SuspectRecord *candidate = m_suspects.find(other);
        const auto isShared = [candidate](const auto &crash) {
            return candidate->crashes.contains(crash.first);
        };
        if (other != name && std::all_of(record.crashes.begin(), record.crashes.end(), isShared)
            && visit(other, *candidate))
            return true;
    }
    return false;
}

// Of several suspects with the same crashes, the one with the fewest recent starts is the most
// likely. If that does not tell them apart, the more specific one is taken: it is in fewer other
// requests, and if it is not the cause, the next crash without it shows that. Nothing tells two
// whole requests apart: neither is quarantined until one is answered, or crashes another server.
bool CrashAttribution::isExplained(const std::string &name, const SuspectRecord &record,
                                   TimePoint now) const
{
    const int level = startLevel(name, record, now);
    return anyWithSameCrashes(name, record, [&](const std::string &other, const auto &candidate) {
        const int otherLevel = startLevel(other, candidate, now);
        const auto isMoreSpecific = [&candidate](const auto &crash) {
            return candidate.crashes.at(crash.first).position > crash.second.position;
        };
        if (otherLevel != level)
            return otherLevel < level;
        if (areRequests(name, other))
            return mayExcuse(record);
        return mayExplainParts(other, candidate)
            && std::all_of(record.crashes.begin(), record.crashes.end(), isMoreSpecific);
    });
}

bool CrashAttribution::isAccused(const std::string &name, const SuspectRecord &record,
                                 Suspects request, TimePoint now) const
{
    const int level = startLevel(name, record, now);
    return !anyWithSameCrashes(name, record, [&](const std::string &other, const auto &candidate) {
        const int otherLevel = startLevel(other, candidate, now);
        const bool isLikely = areRequests(name, other) ? otherLevel < level || mayExcuse(record)
                                                       : mayExplainParts(other, candidate);
        return isLikely && otherLevel <= level
            && std::find(request.begin(), request.end(), other) == request.end();
    });
}

// Levels order all suspects, so there is always one that no other one explains. Of the starts in
// other processes only the latest one is known.
int CrashAttribution::startLevel(const std::string &name, const SuspectRecord &record,
                                 TimePoint now) const
{
    const double reported =
        record.startedAt == TimePoint {} ? 0 : RecentStarts::weightOf(record.startedAt, now);
    const double weight = std::max(m_starts.weight(name, now), reported);
    return weight < minStartWeight ? 0 : 1 + std::ilogb(weight / minStartWeight) / 2;
}

} // namespace foxtailring
