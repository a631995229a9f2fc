#include "foxtailring/decisions/BackendTable.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

// Weight of the latest answer in the failure rate: about the last ten answers count.
constexpr double failureWeight = 0.1;

} // namespace

BackendTable::BackendTable()
    : BackendTable(Settings {})
{
}

BackendTable::BackendTable(Settings settings)
    : m_settings(settings)
{
}

void BackendTable::replace(std::span<const BackendInfo> list, TimePoint now)
{
    std::vector<std::string_view> listed;
    for (const BackendInfo &info : list) {
        place(info, now);
        listed.push_back(info.id);
    }
    std::sort(listed.begin(), listed.end());
    std::vector<std::string> absent;
    for (const auto &[id, record] : m_records) {
        if (!std::binary_search(listed.begin(), listed.end(), std::string_view(id)))
            absent.push_back(id);
    }
    for (const std::string &id : absent)
        remove(id, now);
    forgetLapsed(now);
}

void BackendTable::put(const BackendInfo &info, TimePoint now)
{
    forgetLapsed(now);
    place(info, now);
}

void BackendTable::place(const BackendInfo &info, TimePoint now)
{
    Record &record = m_records[info.id];
    const bool isNewStart = record.info.startedAtMs != info.startedAtMs
        || record.info.address != info.address || record.info.service != info.service;
    // What was known of an earlier start says nothing about this one; work in flight still ends.
    if (isNewStart) {
        const std::uint32_t inFlight = record.inFlight;
        const std::uint32_t copies = record.copies;
        record = Record {};
        record.inFlight = inFlight;
        record.copies = copies;
        record.heardAt = now;
    }
    record.info = info;
    record.isLapsed = false;
    m_lapsed.erase(info.id);
    if (isNewStart) {
        m_idsByAddress[info.address].insert(info.id);
        leaveAddressOf(record);
    }
}

// A server that starts at an address has taken it from whoever is still listed there.
void BackendTable::leaveAddressOf(const Record &latest)
{
    std::set<std::string> &ids = m_idsByAddress[latest.info.address];
    for (auto id = ids.begin(); id != ids.end();) {
        Record *record = find(*id);
        if (!record || record->info.address != latest.info.address) {
            id = ids.erase(id);
            continue;
        }
        if (record != &latest && record->info.startedAtMs <= latest.info.startedAtMs)
            record->isMisplaced = true;
        ++id;
    }
}

void BackendTable::remove(std::string_view id, TimePoint now)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return;
    found->second.isLapsed = true;
    m_lapsed.emplace(id);
    if (!isKept(found->second, now))
        forget(id);
}

void BackendTable::listLost()
{
    m_isListLost = true;
}

void BackendTable::listRegained(TimePoint now)
{
    if (!m_isListLost)
        return;
    m_isListLost = false;
    m_lapseUntil = now + m_settings.lapseGrace;
}

void BackendTable::startWork(std::string_view id)
{
    if (Record *record = find(id))
        ++record->inFlight;
}

void BackendTable::endWork(std::string_view id)
{
    Record *record = find(id);
    if (record && record->inFlight > 0)
        --record->inFlight;
}

void BackendTable::startCopy(std::string_view id)
{
    if (Record *record = find(id))
        ++record->copies;
}

void BackendTable::endCopy(std::string_view id)
{
    Record *record = find(id);
    if (record && record->copies > 0)
        --record->copies;
}

void BackendTable::heard(std::string_view id, TimePoint now)
{
    Record *record = find(id);
    if (!record)
        return;
    const bool wasSuspected = record->suspectedUntil > now;
    record->heardAt = now;
    record->failuresInRow = 0;
    record->suspectedUntil = TimePoint {};
    if (wasSuspected && m_hooks.trusted)
        m_hooks.trusted(record->info);
}

void BackendTable::answered(std::string_view id, bool failed, TimePoint now)
{
    heard(id, now);
    if (Record *record = find(id))
        record->failureRate += failureWeight * ((failed ? 1 : 0) - record->failureRate);
}

void BackendTable::loadTold(std::string_view id, const BackendLoadReport &load, TimePoint now)
{
    if (Record *record = find(id)) {
        record->load = load;
        record->loadAt = now;
    }
}

void BackendTable::failed(std::string_view id, TimePoint now)
{
    Record *record = find(id);
    if (!record)
        return;
    // All requests that one crash ends count once.
    const bool isNew = record->suspectedUntil <= now;
    std::erase_if(m_failed, [this, now](const std::string &one) {
        const Record *other = find(one);
        return !other || now - other->failedAt >= m_settings.zoneWindow;
    });
    if (isNew)
        ++record->failuresInRow;
    record->failedAt = now;
    m_failed.emplace(id);
    const auto doublings = std::min<std::uint32_t>(record->failuresInRow - 1, 8);
    const Duration pause =
        std::min<Duration>(m_settings.suspectFor * (1U << doublings), m_settings.mostSuspectFor);
    record->suspectedUntil = now + pause;
    if (isNew && m_hooks.suspected)
        m_hooks.suspected(record->info, pause);
}

void BackendTable::replacedByOther(std::string_view id, std::string_view occupant, TimePoint now)
{
    Record *record = find(id);
    if (!record)
        return;
    misplace(*record);
    const bool isAdopted = !occupant.empty() && m_isListLost && !find(occupant);
    if (!isAdopted)
        return;
    BackendInfo info = record->info;
    info.id = occupant;
    info.isDraining = false;
    info.startedAtMs = 0;
    Record &adopted = m_records[info.id];
    adopted.info = std::move(info);
    adopted.heardAt = now;
    // Dropped with all others that the list does not name when it can be read again.
    adopted.isLapsed = true;
    m_lapsed.insert(adopted.info.id);
    m_idsByAddress[adopted.info.address].insert(adopted.info.id);
}

bool BackendTable::isOtherStart(std::string_view id, std::int64_t startedAtMs)
{
    Record *record = find(id);
    const bool isOther = record && startedAtMs > 0 && record->info.startedAtMs > 0
        && startedAtMs > record->info.startedAtMs;
    if (isOther)
        misplace(*record);
    return isOther;
}

void BackendTable::misplace(Record &record)
{
    if (!std::exchange(record.isMisplaced, true) && m_hooks.replaced)
        m_hooks.replaced(record.info);
}

std::optional<BackendState> BackendTable::server(std::string_view id, TimePoint now) const
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || !isKept(found->second, now))
        return std::nullopt;
    const Record &record = found->second;
    return stateOf(record, zoneFailures(record.info.service, now), now);
}

std::vector<BackendState> BackendTable::candidates(std::string_view service, TimePoint now) const
{
    const ZoneFailures failures = zoneFailures(service, now);
    std::vector<BackendState> out;
    for (const auto &[id, record] : m_records) {
        if (isCandidate(record, service, now))
            out.push_back(stateOf(record, failures, now));
    }
    return out;
}

std::vector<std::string> BackendTable::candidateIds(std::string_view service, TimePoint now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, record] : m_records) {
        if (isCandidate(record, service, now))
            ids.push_back(id);
    }
    return ids;
}

bool BackendTable::isCandidate(const Record &record, std::string_view service, TimePoint now) const
{
    return record.info.service == service && !record.info.isDraining && !record.isMisplaced
        && isKept(record, now);
}

BackendTable::Record *BackendTable::find(std::string_view id)
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

BackendState BackendTable::stateOf(const Record &record, const ZoneFailures &failures,
                                   TimePoint now) const
{
    BackendState state;
    state.info = record.info;
    state.isMisplaced = record.isMisplaced;
    const auto failure = failures.find(record.info.availabilityZone);
    state.hasFailedNeighbour = failure != failures.end() && record.heardAt < failure->second.first;
    state.inFlight = record.inFlight;
    state.copies = record.copies;
    state.failureRate = record.failureRate;
    state.load = record.load;
    state.loadAge = now - record.loadAt;
    if (record.suspectedUntil > now)
        state.trust = BackendTrust::Suspected;
    else if (isDoubtful(record, failures, now))
        state.trust = BackendTrust::Doubtful;
    return state;
}

BackendTable::ZoneFailures BackendTable::zoneFailures(std::string_view service, TimePoint now) const
{
    ZoneFailures failures;
    for (const std::string &id : m_failed) {
        const auto found = m_records.find(id);
        if (found == m_records.end())
            continue;
        const Record &record = found->second;
        const bool failedNow = record.info.service == service
            && now - record.failedAt < m_settings.zoneWindow && record.heardAt <= record.failedAt;
        if (!failedNow)
            continue;
        auto &[count, first] = failures[record.info.availabilityZone];
        first = count == 0 ? record.failedAt : std::min(first, record.failedAt);
        ++count;
    }
    return failures;
}

bool BackendTable::isDoubtful(const Record &record, const ZoneFailures &failures,
                              TimePoint now) const
{
    const auto found = failures.find(record.info.availabilityZone);
    if (found == failures.end())
        return false;
    const auto &[count, first] = found->second;
    return count >= m_settings.zoneFailures && record.heardAt < first
        && now - first < m_settings.doubtFor;
}

bool BackendTable::isKept(const Record &record, TimePoint now) const
{
    return !record.isLapsed || m_isListLost || now < m_lapseUntil;
}

void BackendTable::forgetLapsed(TimePoint now)
{
    for (auto id = m_lapsed.begin(); id != m_lapsed.end();) {
        const std::string name = *id++;
        const Record *record = find(name);
        if (!record || !isKept(*record, now))
            forget(name);
    }
}

// Its id stays listed by its address until that is taken again.
void BackendTable::forget(std::string_view id)
{
    const std::string name(id);
    m_records.erase(name);
    m_failed.erase(name);
    m_lapsed.erase(name);
}

} // namespace foxtailring
