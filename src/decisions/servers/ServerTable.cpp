#include "foxtailring/decisions/servers/ServerTable.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

bool idLess(const ServerState &state, std::string_view id)
{
    return state.info->id < id;
}

} // namespace

ServerTable::ServerTable()
    : ServerTable(Settings {})
{
}

ServerTable::ServerTable(Settings settings)
    : m_settings(settings)
{
}

void ServerTable::applyVmList(std::span<const ListedServer> list, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (const ListedServer &listed : list)
        applyListed(listed, now);
    dropExpired(now);
}

ReportEffect ServerTable::applyReport(const LoadReport &report, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(report.serverId);
    if (found == m_records.end())
        return ReportEffect::UnknownServer;
    Record &record = found->second;
    ServerState &state = record.state;
    // A delayed report of an earlier incarnation says nothing about the current one.
    if (report.incarnation == record.previousIncarnation)
        return ReportEffect::Stale;

    record.lastContact = now;
    record.hasContact = true;
    record.reachability = Reachability::Normal;
    const bool sameIncarnation = record.hasReport && report.incarnation == state.incarnation;
    if (sameIncarnation && report.sequence <= record.sequence)
        return ReportEffect::Stale;
    if (record.hasReport && !sameIncarnation)
        record.previousIncarnation = state.incarnation;

    record.hasReport = true;
    record.lastReport = now;
    record.sequence = report.sequence;
    record.reportedLeaving = report.leaving;
    state.incarnation = report.incarnation;
    state.running = report.running;
    state.waiting = report.waiting;
    state.capacity = report.capacity;
    state.ownInFlightAtReport = state.ownInFlight;
    state.configRevision = report.configRevision;
    if (*state.prefixHashes != report.prefixHashes)
        state.prefixHashes =
            std::make_shared<const std::vector<std::uint64_t>>(report.prefixHashes);
    return ReportEffect::Applied;
}

void ServerTable::markSuspected(std::string_view serverId, TimePoint)
{
    setReachability(serverId, Reachability::Suspected);
}

void ServerTable::markReachable(std::string_view serverId, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(serverId);
    if (found == m_records.end())
        return;
    found->second.reachability = Reachability::Normal;
    found->second.lastContact = now;
    found->second.hasContact = true;
}

void ServerTable::markLost(std::string_view serverId, TimePoint)
{
    setReachability(serverId, Reachability::Lost);
}

void ServerTable::startWork(std::string_view serverId)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(serverId);
    if (found != m_records.end())
        ++found->second.state.ownInFlight;
}

void ServerTable::endWork(std::string_view serverId)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(serverId);
    if (found != m_records.end() && found->second.state.ownInFlight > 0)
        --found->second.state.ownInFlight;
}

void ServerTable::setSubset(std::string_view service, std::vector<std::string> serverIds)
{
    std::sort(serverIds.begin(), serverIds.end());
    const std::lock_guard lock(m_mutex);
    if (serverIds.empty())
        m_subsets.erase(std::string(service));
    else
        m_subsets.insert_or_assign(std::string(service), std::move(serverIds));
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return;
    for (Record *record : found->second)
        record->inSubset = isInSubset(*record);
}

std::vector<ServerState> ServerTable::candidates(std::string_view service, TimePoint now) const
{
    std::vector<ServerState> states;
    const std::lock_guard lock(m_mutex);
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return states;
    states.reserve(found->second.size());
    for (const Record *record : found->second) {
        if (!record->inSubset)
            continue;
        ServerState state = snapshot(*record, now);
        if (state.status == ServerStatus::Live)
            states.push_back(std::move(state));
    }
    return states;
}

std::vector<ServerState> ServerTable::servers(std::string_view service, TimePoint now) const
{
    std::vector<ServerState> states;
    const std::lock_guard lock(m_mutex);
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return states;
    states.reserve(found->second.size());
    for (const Record *record : found->second)
        states.push_back(snapshot(*record, now));
    return states;
}

std::optional<ServerState> ServerTable::server(std::string_view serverId, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(serverId);
    if (found == m_records.end())
        return std::nullopt;
    return snapshot(found->second, now);
}

std::vector<std::string> ServerTable::services() const
{
    std::vector<std::string> names;
    const std::lock_guard lock(m_mutex);
    for (const auto &[name, records] : m_byService)
        names.push_back(name);
    return names;
}

std::size_t ServerTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_records.size();
}

void ServerTable::applyListed(const ListedServer &listed, TimePoint now)
{
    const auto [found, isNew] = m_records.try_emplace(listed.info.id);
    Record &record = found->second;
    if (isNew)
        record.state.prefixHashes = std::make_shared<const std::vector<std::uint64_t>>();
    record.lastListed = now;
    record.listedLeaving = listed.isLeaving;
    if (!isNew && *record.state.info == listed.info)
        return;
    if (!isNew)
        removeFromIndex(record);
    record.state.info = std::make_shared<const ServerInfo>(listed.info);
    addToIndex(record);
}

void ServerTable::dropExpired(TimePoint now)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        const Record &record = it->second;
        const bool isListed = now - record.lastListed < m_settings.dropAfter;
        const bool isInContact =
            record.hasContact && now - record.lastContact < m_settings.dropAfter;
        if (isListed || isInContact || record.state.ownInFlight > 0) {
            ++it;
            continue;
        }
        removeFromIndex(record);
        it = m_records.erase(it);
    }
}

void ServerTable::addToIndex(Record &record)
{
    auto &records = m_byService[record.state.info->service];
    const auto at = std::lower_bound(
        records.begin(), records.end(), record.state.info->id,
        [](const Record *other, const std::string &id) { return idLess(other->state, id); });
    records.insert(at, &record);
    record.inSubset = isInSubset(record);
}

void ServerTable::removeFromIndex(const Record &record)
{
    const auto found = m_byService.find(record.state.info->service);
    std::erase(found->second, &record);
    if (found->second.empty())
        m_byService.erase(found);
}

void ServerTable::setReachability(std::string_view serverId, Reachability reachability)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(serverId);
    if (found != m_records.end())
        found->second.reachability = reachability;
}

bool ServerTable::isInSubset(const Record &record) const
{
    const auto found = m_subsets.find(record.state.info->service);
    return found == m_subsets.end()
        || std::binary_search(found->second.begin(), found->second.end(), record.state.info->id);
}

bool ServerTable::isLeaving(const Record &record, TimePoint now) const
{
    const bool isReportTrusted =
        record.hasReport && now - record.lastReport < m_settings.reportTrustPeriod;
    return isReportTrusted ? record.reportedLeaving : record.listedLeaving;
}

ServerState ServerTable::snapshot(const Record &record, TimePoint now) const
{
    ServerState state = record.state;
    state.inSubset = record.inSubset;
    if (record.hasReport)
        state.reportAge = now - record.lastReport;
    if (record.reachability == Reachability::Lost)
        state.status = ServerStatus::Lost;
    else if (record.reachability == Reachability::Suspected)
        state.status = ServerStatus::Suspected;
    else
        state.status = isLeaving(record, now) ? ServerStatus::Leaving : ServerStatus::Live;
    return state;
}

} // namespace foxtailring
