#include "foxtailring/decisions/servers/BackendTable.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

// Weight of the latest answer in the moving average, which covers about ten answers.
constexpr double latestAnswerWeight = 0.1;

} // namespace

BackendTable::BackendTable()
    : BackendTable(Settings {})
{
}

BackendTable::BackendTable(Settings settings)
    : m_settings(settings)
    , m_identities(settings.identities)
{
}

void BackendTable::setHooks(Hooks hooks)
{
    m_hooks = std::move(hooks);
    m_identities.setHooks({m_hooks.onReplaced, m_hooks.onReplacementEnded});
}

void BackendTable::replace(std::span<const BackendInfo> list, TimePoint now)
{
    std::vector<std::string_view> listed;
    const auto held = std::exchange(m_heldServers, {});
    for (const BackendInfo &info : list) {
        const auto found = held.find(info.id);
        if (found == held.end())
            insertOrUpdate(info, now);
        else
            m_heldServers.emplace(info.id, HeldServer {info, found->second.until});
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
    eraseExpired(now);
}

void BackendTable::mergeRestored(std::span<const BackendInfo> list, TimePoint now)
{
    eraseExpired(now);
    m_heldServers.clear();
    std::vector<BackendInfo> current;
    for (const BackendInfo &info : list) {
        if (m_goneServers.containsSameOrLater(info))
            m_heldServers.emplace(info.id, HeldServer {info, now + m_settings.goneHold});
        current.push_back(latestOf(info));
    }
    m_unlistedGraceEnd = now + m_settings.unlistedGrace;
    replace(current, now);
}

// A server drains until it ends; its entry is ready again only after another start.
BackendInfo BackendTable::latestOf(const BackendInfo &restored) const
{
    const auto found = m_records.find(restored.id);
    if (found == m_records.end())
        return restored;
    const BackendInfo &known = found->second.info;
    if (known.startedAtMs > restored.startedAtMs)
        return known;
    BackendInfo latest = restored;
    latest.isDraining = restored.isDraining || (known.isDraining && known.isSameStart(restored));
    return latest;
}

void BackendTable::put(const BackendInfo &info, TimePoint now)
{
    eraseExpired(now);
    m_goneServers.erase(info.id);
    m_heldServers.erase(info.id);
    insertOrUpdate(info, now);
    m_identities.confirmByEntry(info.id, now);
}

void BackendTable::insertOrUpdate(const BackendInfo &info, TimePoint now)
{
    Record &record = m_records[info.id];
    const bool isNewStart = record.info.startedAtMs != info.startedAtMs
        || record.info.address != info.address || record.info.service != info.service;
    const bool wasLeaving = isLeaving(record);
    if (isNewStart && wasLeaving && m_hooks.onLeavingEnded)
        m_hooks.onLeavingEnded(record.info);
    // What is known from before a restart no longer holds, except for the requests in flight and
    // the copies, which are still going to end.
    if (isNewStart) {
        const std::uint32_t inFlight = record.inFlight;
        const std::uint32_t copies = record.copies;
        record = Record {};
        record.inFlight = inFlight;
        record.copies = copies;
        record.lastContactAt = now;
        m_pace.forget(info.id);
    }
    record.info = info;
    // A listed server may have been dropped from m_leavingServers, which is bounded.
    record.saysLeaving = record.saysLeaving || m_leavingServers.contains(info);
    if (record.saysLeaving)
        m_leavingServers.insert(info);
    reportLeaving(record, wasLeaving && !isNewStart,
                  record.saysLeaving ? LeavingSource::Answer : LeavingSource::List);
    record.isUnlisted = false;
    m_unlistedIds.erase(info.id);
    if (isNewStart)
        m_identities.addEntry(info, now);
}

void BackendTable::setNamedServices(ServerIdentities::Names services, TimePoint now)
{
    m_identities.setNamedServices(std::move(services), now);
}

void BackendTable::remove(std::string_view id, TimePoint now)
{
    m_heldServers.erase(std::string(id));
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return;
    found->second.isUnlisted = true;
    m_unlistedIds.emplace(id);
    if (!isRetained(found->second, now))
        eraseRecord(id);
}

// Expired servers are erased first here and in mergeRestored(), or the next grace would apply to
// them too.
void BackendTable::onListLost(TimePoint now)
{
    eraseExpired(now);
    m_isListUnavailable = true;
}

void BackendTable::onListRestored(TimePoint now)
{
    if (!m_isListUnavailable)
        return;
    m_isListUnavailable = false;
    m_unlistedGraceEnd = now + m_settings.unlistedGrace;
}

void BackendTable::expire(TimePoint now)
{
    eraseExpired(now);
    std::vector<BackendInfo> listed;
    for (const auto &[id, held] : m_heldServers) {
        if (now >= held.until)
            listed.push_back(held.info);
    }
    for (const BackendInfo &info : listed)
        put(info, now);
    m_identities.expire(now);
    m_expiredAt = now;
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

void BackendTable::recordContact(std::string_view id, TimePoint now)
{
    Record *record = find(id);
    if (!record)
        return;
    const bool wasSuspected = record->suspectedUntil > now;
    record->lastContactAt = now;
    record->consecutiveFailures = 0;
    record->suspectedUntil = TimePoint {};
    if (wasSuspected && m_hooks.onRecovered)
        m_hooks.onRecovered(record->info);
}

void BackendTable::recordAnswer(std::string_view id, bool isFailure, TimePoint now)
{
    recordContact(id, now);
    if (Record *record = find(id))
        record->failureRate += latestAnswerWeight * ((isFailure ? 1 : 0) - record->failureRate);
}

void BackendTable::recordFailure(std::string_view id, TimePoint now)
{
    Record *record = find(id);
    if (!record)
        return;
    // All requests that fail in one crash count as one failure.
    const bool isNew = record->suspectedUntil <= now;
    std::erase_if(m_recentlyFailedIds, [this, now](const std::string &one) {
        const Record *other = find(one);
        return !other || now - other->failedAt >= m_settings.zoneFailureWindow;
    });
    if (isNew)
        ++record->consecutiveFailures;
    record->failedAt = now;
    m_recentlyFailedIds.emplace(id);
    const auto doublings = std::min<std::uint32_t>(record->consecutiveFailures - 1, 8);
    const Duration suspicion =
        std::min<Duration>(m_settings.minSuspicion * (1U << doublings), m_settings.maxSuspicion);
    record->suspectedUntil = now + suspicion;
    if (isNew && m_hooks.onSuspected)
        m_hooks.onSuspected(record->info, suspicion);
}

void BackendTable::recordReplacement(std::string_view id, std::string_view successorId,
                                     TimePoint now)
{
    Record *record = find(id);
    if (!record)
        return;
    m_identities.recordWrongServer(id, now);
    if (!successorId.empty() && m_isListUnavailable && !find(successorId))
        addSuccessor(record->info.address, successorId, now);
}

// The address of a server that has gone may belong to a server of any service, and no answer names
// the service, so only an earlier entry of the successor does.
void BackendTable::addSuccessor(const std::string &address, std::string_view id, TimePoint now)
{
    const BackendInfo *entry = m_goneServers.find(id);
    if (!entry)
        return;
    BackendInfo info = *entry;
    info.address = address;
    info.isDraining = false;
    info.startedAtMs = 0;
    Record &successor = m_records[info.id];
    successor.info = std::move(info);
    successor.lastContactAt = now;
    successor.saysLeaving = m_leavingServers.contains(successor.info);
    reportLeaving(successor, false, LeavingSource::Answer);
    // Removed with all others that are not listed when the list can be read again.
    successor.isUnlisted = true;
    m_unlistedIds.insert(successor.info.id);
    m_identities.addUnlisted(successor.info);
}

void BackendTable::confirmIdentity(const BackendInfo &server, TimePoint now)
{
    if (!hasOtherStart(server))
        m_identities.confirm(server.id, now);
}

// An answer to a request that was sent before the server restarted is about its earlier start.
void BackendTable::recordNotice(const BackendInfo &server, LeavingNotice notice)
{
    Record *record = find(server.id);
    const bool isCurrent = record && record->info.isSameStart(server);
    if (notice == LeavingNotice::Unreadable && isCurrent
        && !std::exchange(record->hasUnreadableNotice, true) && m_hooks.onNoticeUnreadable)
        m_hooks.onNoticeUnreadable(record->info);
    // Without a start time, a later entry cannot be told from that of a restarted server.
    const bool isKnown = isCurrent || (!record && server.startedAtMs > 0);
    if (notice != LeavingNotice::Leaving || !isKnown)
        return;
    m_leavingServers.insert(record ? record->info : server);
    if (!record)
        return;
    const bool wasLeaving = isLeaving(*record);
    record->saysLeaving = true;
    reportLeaving(*record, wasLeaving, LeavingSource::Answer);
}

bool BackendTable::isLeaving(const Record &record)
{
    return record.info.isDraining || record.saysLeaving;
}

void BackendTable::reportLeaving(const Record &record, bool wasLeaving, LeavingSource source) const
{
    const bool leaves = isLeaving(record);
    if (leaves && !wasLeaving && m_hooks.onLeaving)
        m_hooks.onLeaving(record.info, source);
    if (!leaves && wasLeaving && m_hooks.onLeavingEnded)
        m_hooks.onLeavingEnded(record.info);
}

bool BackendTable::hasOtherStart(const BackendInfo &server) const
{
    const auto found = m_records.find(server.id);
    return found != m_records.end() && !found->second.info.isSameStart(server);
}

bool BackendTable::isReplaced(const Record &record, TimePoint now) const
{
    return m_identities.isSuspended(record.info.id, now);
}

bool BackendTable::acceptsNewWork(const Record &record, TimePoint now) const
{
    return !isLeaving(record) && !isReplaced(record, now);
}

bool BackendTable::acceptsNewWork(std::string_view id) const
{
    const auto found = m_records.find(id);
    return found != m_records.end() && acceptsNewWork(found->second, m_expiredAt);
}

std::optional<BackendState> BackendTable::server(std::string_view id, TimePoint now) const
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || !isRetained(found->second, now))
        return std::nullopt;
    const Record &record = found->second;
    return stateOf(record, recentZoneFailures(record.info.service, now), now);
}

std::vector<BackendState> BackendTable::candidates(std::string_view service, TimePoint now) const
{
    const ZoneFailures failures = recentZoneFailures(service, now);
    std::vector<BackendState> states;
    for (const auto &[id, record] : m_records) {
        if (isCandidate(record, service, now))
            states.push_back(stateOf(record, failures, now));
    }
    return states;
}

std::vector<BackendState> BackendTable::zonePeers(const BackendInfo &server, TimePoint now) const
{
    const ZoneFailures failures = recentZoneFailures(server.service, now);
    std::vector<BackendState> states;
    for (const auto &[id, record] : m_records) {
        const bool isPeer = record.info.service == server.service && id != server.id
            && record.info.availabilityZone == server.availabilityZone;
        if (isPeer && isRetained(record, now))
            states.push_back(stateOf(record, failures, now));
    }
    return states;
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
    return record.info.service == service && acceptsNewWork(record, now) && isRetained(record, now);
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
    state.isLeaving = isLeaving(record);
    state.isReplaced = isReplaced(record, now);
    state.reportedStart = m_identities.reportedStart(record.info.id, now);
    const auto failure = failures.find(record.info.availabilityZone);
    state.hasFailedZonePeer =
        failure != failures.end() && record.lastContactAt < failure->second.firstAt;
    state.inFlight = record.inFlight;
    state.copies = record.copies;
    state.failureRate = record.failureRate;
    state.load = record.load;
    state.loadAge = now - record.loadReceivedAt;
    state.reported = record.reported;
    state.pace = m_pace.reading(record.info.id, now);
    state.relativeRunTime = m_speeds.relativeDuration(record.info);
    if (record.suspectedUntil > now)
        state.health = BackendHealth::Suspected;
    else if (isDoubtful(record, failures, now))
        state.health = BackendHealth::Doubtful;
    return state;
}

BackendTable::ZoneFailures BackendTable::recentZoneFailures(std::string_view service,
                                                            TimePoint now) const
{
    ZoneFailures failures;
    for (const std::string &id : m_recentlyFailedIds) {
        const auto found = m_records.find(id);
        if (found == m_records.end())
            continue;
        const Record &record = found->second;
        const bool hasJustFailed = record.info.service == service
            && now - record.failedAt < m_settings.zoneFailureWindow
            && record.lastContactAt <= record.failedAt;
        if (!hasJustFailed)
            continue;
        auto &[count, firstAt] = failures[record.info.availabilityZone];
        firstAt = count == 0 ? record.failedAt : std::min(firstAt, record.failedAt);
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
    const auto &[count, firstAt] = found->second;
    return count >= m_settings.zoneFailureThreshold && record.lastContactAt < firstAt
        && now - firstAt < m_settings.maxDoubt;
}

bool BackendTable::isRetained(const Record &record, TimePoint now) const
{
    return !record.isUnlisted || m_isListUnavailable || now < m_unlistedGraceEnd;
}

void BackendTable::eraseExpired(TimePoint now)
{
    for (auto id = m_unlistedIds.begin(); id != m_unlistedIds.end();) {
        const std::string name = *id++;
        const Record *record = find(name);
        if (!record || !isRetained(*record, now))
            eraseRecord(name);
    }
}

void BackendTable::eraseRecord(std::string_view id)
{
    const std::string name(id);
    const auto found = m_records.find(name);
    m_pace.forget(name);
    if (found != m_records.end()) {
        const Record &record = found->second;
        if (isLeaving(record) && m_hooks.onLeavingEnded)
            m_hooks.onLeavingEnded(record.info);
        m_goneServers.insert(record.info);
        if (record.info.startedAtMs == 0)
            m_leavingServers.erase(name);
        m_records.erase(found);
    }
    m_identities.remove(name);
    m_recentlyFailedIds.erase(name);
    m_unlistedIds.erase(name);
}

} // namespace foxtailring
