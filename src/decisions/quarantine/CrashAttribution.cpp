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

// Suspects that are always lost together excuse each other. A sound one is not lost so often
// without being answered once, so then both are to blame. Each retry of a request may go where a
// deadly one goes, so that requests are lost together more often than parts at different moments.
constexpr std::size_t maxSharedCrashes = 6;
constexpr std::size_t maxSharedMoments = 3;

// More crashes that a whole request needs for each order of magnitude of its recent answers.
constexpr std::size_t crashesPerStartLevel = 2;
// Starts long before do not protect a request that crashes one server after the other.
constexpr std::size_t maxRequestCrashes = 9;

bool isRequest(const std::string &name)
{
    return RequestDigest::isDigest(name);
}

std::size_t countShared(const SuspectRecord &one, const SuspectRecord &other)
{
    return static_cast<std::size_t>(
        std::count_if(one.crashes.begin(), one.crashes.end(),
                      [&other](const auto &crash) { return other.crashes.contains(crash.first); }));
}

// Two of equally many crashes excuse each other only for a while.
bool mayExcuse(const SuspectRecord &candidate, const SuspectRecord &record, bool isForAWhile)
{
    const std::size_t size = record.crashes.size();
    return candidate.crashes.size() > size || (candidate.crashes.size() == size && isForAWhile);
}

} // namespace

CrashAttribution::CrashAttribution(const SuspectTable &suspects, const EngineFailures &failures,
                                   const SuspectStarts &starts, std::size_t minPartCrashes)
    : m_suspects(suspects)
    , m_failures(failures)
    , m_starts(starts)
    , m_minPartCrashes(minPartCrashes)
{
}

std::size_t CrashAttribution::minCrashes(const std::string &name) const
{
    return isRequest(name) ? minRequestCrashes : m_minPartCrashes;
}

// Many callers may send the same request, so that it is at most servers whatever ends them.
std::size_t CrashAttribution::crashThreshold(const std::string &name, const SuspectRecord &record,
                                             TimePoint now) const
{
    if (!isRequest(name))
        return minCrashes(name);
    const auto level = static_cast<std::size_t>(startLevel(name, record, now));
    return std::min(minCrashes(name) + crashesPerStartLevel * level, maxRequestCrashes);
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
    const bool countsEach = isRequest(name);
    std::size_t count = 0;
    TimeBounds counted;
    for (const TimeBounds &at : times) {
        if (count > 0 && !countsEach && !m_failures.isSurelyLater(at, counted))
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
// requests, and if it is not the cause, the next crash without it shows that. A part is blamed
// until it is known that one request with it crashes servers whatever its parts are. Nothing tells
// two whole requests apart: neither is quarantined until one is answered, or crashes another
// server.
bool CrashAttribution::isExplained(const std::string &name, const SuspectRecord &record,
                                   TimePoint now) const
{
    const int level = startLevel(name, record, now);
    if (isRequest(name) && isExplainedByRequest(name, record, level, now))
        return true;
    return anyWithSameCrashes(name, record, [&](const std::string &other, const auto &candidate) {
        const int otherLevel = startLevel(other, candidate, now);
        const auto isMoreSpecific = [&candidate](const auto &crash) {
            return candidate.crashes.at(crash.first).position > crash.second.position;
        };
        if (otherLevel != level)
            return otherLevel < level;
        if (isRequest(other) && (isRequest(name) || !explainsPart(candidate, name)))
            return false;
        return std::all_of(record.crashes.begin(), record.crashes.end(), isMoreSpecific);
    });
}

// Of the requests with a part, only those are refused that have what else may be the cause. The
// others show by their answer, or by the next crash, which it is.
bool CrashAttribution::isAccused(const std::string &name, const SuspectRecord &record,
                                 Suspects request, TimePoint now) const
{
    const int level = startLevel(name, record, now);
    if (isRequest(name) && isExplainedByRequest(name, record, level, now))
        return false;
    return !anyWithSameCrashes(name, record, [&](const std::string &other, const auto &candidate) {
        const int otherLevel = startLevel(other, candidate, now);
        if (otherLevel > level || std::find(request.begin(), request.end(), other) != request.end())
            return false;
        if (isRequest(name))
            return !isRequest(other) || otherLevel < level;
        if (isRequest(other))
            return candidate.parts.contains(name)
                ? candidate.crashes.size() >= m_minPartCrashes
                : otherLevel < level && candidate.crashes.size() >= minRequestCrashes;
        return mayExcuse(candidate, record, crashCount(name, record) <= maxSharedMoments)
            || areOfOneRequest(name, other, record);
    });
}

bool CrashAttribution::explainsPart(const SuspectRecord &request, const std::string &part)
{
    return request.parts.contains(part) && request.crashes.size() >= minRequestCrashes;
}

// Sound requests are lost beside deadly ones, and a process does not know of all that were lost at
// a crash. So a request that is quarantined, or that was at most of the crashes of another one,
// explains that one but for crashes that would be enough without it.
bool CrashAttribution::isExplainedByRequest(const std::string &name, const SuspectRecord &record,
                                            int level, TimePoint now) const
{
    const std::size_t size = record.crashes.size();
    const auto isRival = [&](const std::string &other) {
        if (other == name || !isRequest(other))
            return false;
        // The number of crashes rules most out. Shared ones are counted for the rest alone, since
        // a full table has 1,024 suspects.
        const SuspectRecord &candidate = *m_suspects.find(other);
        if (!mayExcuse(candidate, record, size < maxSharedCrashes)
            || startLevel(other, candidate, now) > level)
            return false;
        const std::size_t shared = countShared(record, candidate);
        return (candidate.quarantine.isInForce || 2 * shared > size)
            && size - shared < minRequestCrashes;
    };
    return std::any_of(record.crashes.begin(), record.crashes.end(), [&](const auto &crash) {
        const SuspectTable::Names &names = m_suspects.suspectsOf(crash.first);
        return std::any_of(names.begin(), names.end(), isRival);
    });
}

// True if both came in one request at each of the crashes.
bool CrashAttribution::areOfOneRequest(const std::string &one, const std::string &other,
                                       const SuspectRecord &record) const
{
    const auto hasBoth = [&](const std::string &last) {
        const auto &parts = m_suspects.find(last)->parts;
        return (last == one || parts.contains(one)) && (last == other || parts.contains(other));
    };
    return std::all_of(record.crashes.begin(), record.crashes.end(), [&](const auto &crash) {
        const SuspectTable::Names &names = m_suspects.suspectsOf(crash.first);
        return std::any_of(names.begin(), names.end(), hasBoth);
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
