#include "foxtailring/decisions/quarantine/SuspectTable.h"

#include "foxtailring/protocol/RequestDigest.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

constexpr std::size_t maxCrashesPerSuspect = 16;

} // namespace

SuspectTable::SuspectTable(std::size_t maxSuspects)
    : m_maxSuspects(maxSuspects)
{
}

SuspectRecord *SuspectTable::find(std::string_view name)
{
    const auto found = m_records.find(name);
    return found == m_records.end() ? nullptr : &found->second;
}

const SuspectRecord *SuspectTable::find(std::string_view name) const
{
    const auto found = m_records.find(name);
    return found == m_records.end() ? nullptr : &found->second;
}

SuspectRecord *SuspectTable::findOrAdd(const std::string &name)
{
    if (SuspectRecord *record = find(name))
        return record;
    if (m_records.size() >= m_maxSuspects)
        makeRoom(name);
    return m_records.size() < m_maxSuspects ? &m_records[name] : nullptr;
}

// One that is quarantined stays: a caller that sends new requests all the time must not end a
// quarantine. One request brings many parts, and many requests share few parts, so that neither
// kind leaves room to the other without a share.
void SuspectTable::makeRoom(const std::string &newcomer)
{
    Kind requests {0, m_records.end()};
    Kind parts {0, m_records.end()};
    for (auto it = m_records.begin(); it != m_records.end(); ++it) {
        Kind &kind = RequestDigest::isDigest(it->first) ? requests : parts;
        ++kind.size;
        const auto rank = std::pair(it->second.crashes.size(), it->second.latestCrash());
        if (it->second.quarantine.count > 0 || rank >= kind.rank)
            continue;
        kind.least = it;
        kind.rank = rank;
    }
    const std::size_t requestShare = m_maxSuspects / 2;
    const bool isRequest = RequestDigest::isDigest(newcomer);
    const bool hasRequestShare = requests.size >= requestShare + (isRequest ? 0 : 1);
    const Kind &first = hasRequestShare ? requests : parts;
    const Kind &second = hasRequestShare ? parts : requests;
    const auto least = first.least != m_records.end() ? first.least : second.least;
    if (least != m_records.end())
        remove(least);
}

void SuspectTable::forEach(
    const std::function<void(const std::string &name, SuspectRecord &)> &visit)
{
    for (auto &[name, record] : m_records)
        visit(name, record);
}

void SuspectTable::removeIf(const std::function<bool(const SuspectRecord &)> &isRemoved)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        const auto record = it++;
        if (isRemoved(record->second))
            remove(record);
    }
}

void SuspectTable::remove(Records::iterator record)
{
    for (const auto &[incarnation, crash] : record->second.crashes)
        unlink(record->first, incarnation);
    m_records.erase(record);
}

SuspectRecord::Crash *SuspectTable::findOrAddCrash(const std::string &name,
                                                   const std::string &incarnation,
                                                   const SuspectRecord::Crash &crash)
{
    SuspectRecord *record = find(name);
    if (!record)
        return nullptr;
    SuspectRecord::Crashes &crashes = record->crashes;
    const auto found = crashes.find(incarnation);
    if (found != crashes.end())
        return &found->second;
    if (crashes.size() >= maxCrashesPerSuspect && !removeCrashBefore(name, crash.at.latest))
        return nullptr;
    m_namesByCrash[incarnation].insert(name);
    return &crashes.emplace(incarnation, crash).first->second;
}

// The latest crashes tell whether the suspect still crashes servers.
bool SuspectTable::removeCrashBefore(const std::string &name, TimePoint at)
{
    const SuspectRecord::Crashes &crashes = m_records.find(name)->second.crashes;
    const auto oldest =
        std::min_element(crashes.begin(), crashes.end(), [](const auto &one, const auto &other) {
            return one.second.at.latest < other.second.at.latest;
        });
    if (oldest->second.at.latest >= at)
        return false;
    const std::string incarnation = oldest->first;
    return removeCrash(name, incarnation);
}

std::size_t SuspectTable::removeCrashes(const std::string &name, const CrashFilter &isRemoved)
{
    SuspectRecord *record = find(name);
    if (!record)
        return 0;
    return std::erase_if(record->crashes, [&](const auto &crash) {
        if (!isRemoved(crash.second))
            return false;
        unlink(name, crash.first);
        return true;
    });
}

bool SuspectTable::removeCrash(const std::string &name, std::string_view incarnation)
{
    SuspectRecord *record = find(name);
    const auto found =
        record ? record->crashes.find(incarnation) : SuspectRecord::Crashes::iterator();
    if (!record || found == record->crashes.end())
        return false;
    unlink(name, incarnation);
    record->crashes.erase(found);
    return true;
}

void SuspectTable::unlink(const std::string &name, std::string_view incarnation)
{
    const auto found = m_namesByCrash.find(incarnation);
    if (found == m_namesByCrash.end())
        return;
    found->second.erase(name);
    if (found->second.empty())
        m_namesByCrash.erase(found);
}

const SuspectTable::Names &SuspectTable::suspectsOf(std::string_view incarnation) const
{
    static const Names none;
    const auto found = m_namesByCrash.find(incarnation);
    return found == m_namesByCrash.end() ? none : found->second;
}

// Names are gathered once for all crashes: 512 starts in a report that share 16 crashes with 1,024
// suspects would otherwise add 8 million.
SuspectTable::Names SuspectTable::suspectsOf(const Names &incarnations) const
{
    Names names;
    for (const std::string &incarnation : incarnations) {
        const Names &sharing = suspectsOf(incarnation);
        names.insert(sharing.begin(), sharing.end());
    }
    return names;
}

SuspectTable::Names SuspectTable::requestsAtAllCrashes(std::string_view part) const
{
    const SuspectRecord *record = find(part);
    Names requests;
    if (!record || record->crashes.empty())
        return requests;
    for (const std::string &name : suspectsOf(record->crashes.begin()->first)) {
        const SuspectRecord &request = *find(name);
        if (request.parts.contains(part) && request.hasAllCrashesOf(*record))
            requests.insert(name);
    }
    return requests;
}

} // namespace foxtailring
