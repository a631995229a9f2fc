#include "foxtailring/decisions/configuration/ConfigState.h"

#include "foxtailring/protocol/ConfigUpdate.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

// Deltas retained for nodes that are behind: about an hour at 29,000 changes per day.
constexpr std::size_t maxRecentUpdates = 1200;
// An entry whose epoch ended longer ago has read the store again since then.
constexpr std::size_t maxEarlierEpochs = 16;

bool contains(const std::vector<std::int64_t> &epochs, std::int64_t epoch)
{
    return std::find(epochs.begin(), epochs.end(), epoch) != epochs.end();
}

template <typename ResourceType, typename Map>
void store(Map &map, const StoredResource &resource)
{
    // The operator interface validates resources before they are stored. One that is invalid here
    // was written to the store directly; the last valid value stays in effect.
    const auto json = nlohmann::json::parse(resource.spec, nullptr, false);
    auto parsed = ResourceType::parse(resource.name, json);
    if (parsed)
        map.insert_or_assign(resource.name, std::move(parsed).value());
}

void storeParsed(ConfigSnapshot &snapshot, const StoredResource &resource)
{
    if (resource.kind == "Service")
        store<ServiceResource>(snapshot.services, resource);
    else if (resource.kind == "ClientAccount")
        store<ClientAccountResource>(snapshot.accounts, resource);
    else if (resource.kind == "Model")
        store<ModelResource>(snapshot.models, resource);
    else if (resource.kind == "Adapter")
        store<AdapterResource>(snapshot.adapters, resource);
    else if (resource.kind == "BackendServer")
        store<BackendServerResource>(snapshot.backendServers, resource);
}

void erase(ConfigSnapshot &snapshot, const ConfigSnapshot::Key &key)
{
    snapshot.resources.erase(key);
    if (key.first == "Service")
        snapshot.services.erase(key.second);
    else if (key.first == "ClientAccount")
        snapshot.accounts.erase(key.second);
    else if (key.first == "Model")
        snapshot.models.erase(key.second);
    else if (key.first == "Adapter")
        snapshot.adapters.erase(key.second);
    else if (key.first == "BackendServer")
        snapshot.backendServers.erase(key.second);
}

void applyDelta(ConfigSnapshot &snapshot, const ResourceDelta &delta)
{
    const ConfigSnapshot::Key key {delta.kind, delta.name};
    if (delta.deleted) {
        erase(snapshot, key);
        return;
    }
    const auto resource = StoredResource::fromJson(delta.json, delta.revision);
    if (!resource)
        return;
    snapshot.resources.insert_or_assign(key, resource.value());
    storeParsed(snapshot, resource.value());
}

ConfigUpdate fullUpdate(const ConfigSnapshot &snapshot)
{
    ConfigUpdate update;
    update.revision = snapshot.revision;
    update.epoch = snapshot.epoch;
    for (const auto &[key, resource] : snapshot.resources) {
        update.resources.push_back(
            ResourceDelta {key.first, key.second, resource.revision, resource.toJson(), false});
    }
    return update;
}

} // namespace

ConfigState::ConfigState()
    : m_snapshot(std::make_shared<ConfigSnapshot>())
{
}

Result<Done> ConfigState::apply(const ConfigUpdate &update)
{
    const std::lock_guard lock(m_mutex);
    if (isOutOfDate(update))
        return Done {};
    const bool isFull = update.baseRevision == 0;
    if (!isFull && update.epoch != m_snapshot->epoch)
        return Error {ErrorCode::Stale, "update starts in another epoch of the store"};
    if (!isFull && update.baseRevision > m_snapshot->revision)
        return Error {ErrorCode::Stale,
                      "update starts at revision " + std::to_string(update.baseRevision)
                          + ", this node has " + std::to_string(m_snapshot->revision)};
    auto updated =
        isFull ? std::make_shared<ConfigSnapshot>() : std::make_shared<ConfigSnapshot>(*m_snapshot);
    for (const auto &delta : update.resources)
        applyDelta(*updated, delta);
    updated->revision = update.revision;
    updated->epoch = update.epoch;
    recordEarlierEpochs(update);
    recordUpdate(update);
    m_snapshot = std::move(updated);
    return Done {};
}

// Epochs have no order of their own. An entry that saw the store's epoch change knows that the
// earlier one has ended, and says so in its updates, so that an entry that has yet to notice it
// cannot bring the earlier configuration back.
bool ConfigState::isOutOfDate(const ConfigUpdate &update) const
{
    if (m_snapshot->revision == 0)
        return false;
    if (update.epoch == m_snapshot->epoch)
        return update.revision <= m_snapshot->revision;
    return contains(m_earlierEpochs, update.epoch)
        && !contains(update.earlierEpochs, m_snapshot->epoch);
}

void ConfigState::recordEarlierEpochs(const ConfigUpdate &update)
{
    for (const std::int64_t epoch : update.earlierEpochs) {
        if (!contains(m_earlierEpochs, epoch))
            m_earlierEpochs.push_back(epoch);
    }
    std::erase(m_earlierEpochs, update.epoch);
    if (m_earlierEpochs.size() > maxEarlierEpochs)
        m_earlierEpochs.erase(m_earlierEpochs.begin(), m_earlierEpochs.end() - maxEarlierEpochs);
}

void ConfigState::recordUpdate(const ConfigUpdate &update)
{
    if (update.baseRevision == 0) {
        m_recentUpdates.clear();
        return;
    }
    m_recentUpdates.push_back(update);
    m_recentUpdates.back().baseRevision = m_snapshot->revision;
    if (m_recentUpdates.size() > maxRecentUpdates)
        m_recentUpdates.erase(m_recentUpdates.begin());
}

std::shared_ptr<const ConfigSnapshot> ConfigState::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_snapshot;
}

std::int64_t ConfigState::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_snapshot->revision;
}

ConfigUpdate ConfigState::updateSince(std::int64_t baseRevision, std::int64_t baseEpoch) const
{
    const std::lock_guard lock(m_mutex);
    if (baseEpoch != m_snapshot->epoch)
        baseRevision = 0;
    const bool isCovered = baseRevision != 0 && !m_recentUpdates.empty()
        && m_recentUpdates.front().baseRevision <= baseRevision;
    if (!isCovered && (baseRevision == 0 || baseRevision != m_snapshot->revision)) {
        ConfigUpdate full = fullUpdate(*m_snapshot);
        full.earlierEpochs = m_earlierEpochs;
        return full;
    }
    ConfigUpdate update;
    update.epoch = m_snapshot->epoch;
    update.earlierEpochs = m_earlierEpochs;
    update.baseRevision = baseRevision;
    update.revision = m_snapshot->revision;
    for (const auto &delta : m_recentUpdates) {
        if (delta.revision <= baseRevision)
            continue;
        update.resources.insert(update.resources.end(), delta.resources.begin(),
                                delta.resources.end());
    }
    return update;
}

} // namespace foxtailring
