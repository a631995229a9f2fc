#include "ConfigWatcher.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/store/ResourceStore.h"

#include "EntryParts.h"

#include <algorithm>
#include <string_view>

namespace foxtailring {

namespace {

constexpr std::string_view keyPrefix = ResourceStore::prefix;

// Kind and name from `<prefix><kind>/<name>`.
bool splitKey(std::string_view key, ResourceDelta &delta)
{
    if (!key.starts_with(keyPrefix))
        return false;
    key.remove_prefix(keyPrefix.size());
    const auto slash = key.find('/');
    if (slash == std::string_view::npos)
        return false;
    delta.kind = key.substr(0, slash);
    delta.name = key.substr(slash + 1);
    return true;
}

void append(ConfigUpdate &update, const KeyValue &pair, bool deleted)
{
    ResourceDelta delta;
    if (!splitKey(pair.key, delta))
        return;
    delta.revision = pair.modRevision;
    delta.deleted = deleted;
    if (!deleted)
        delta.json = pair.value;
    update.resources.push_back(std::move(delta));
}

} // namespace

ConfigWatcher::ConfigWatcher(EntryParts &parts, Http1Client &http, Hook apply)
    : m_parts(parts)
    , m_apply(std::move(apply))
    , m_client(http, parts.settings.platform)
    , m_watcher(parts.pool, m_client, std::string(keyPrefix), {parts.settings.watchRenewal},
                watcherHooks())
{
}

PrefixWatcherHooks ConfigWatcher::watcherHooks()
{
    PrefixWatcherHooks hooks;
    hooks.onSnapshot = [this](const RangeResult &read) {
        takeSnapshot(read);
        return true;
    };
    hooks.onChanges = [this](std::span<const WatchEvent> events) {
        ConfigUpdate update = delta(events, m_revision);
        update.epoch = m_epoch;
        m_revision = update.revision;
        return apply(update);
    };
    hooks.onUnavailable = [](const Error &error) {
        StructuredLog::warn("platformUnavailable", {{"message", error.message}});
    };
    hooks.onAvailable = [] { StructuredLog::info("platformFollowed"); };
    hooks.onError = [this](const Error &) { m_parts.metrics.add("config_read_failures_total"); };
    return hooks;
}

// The store's word is final, also when it was restored from a backup and is at a lower revision.
void ConfigWatcher::takeSnapshot(const RangeResult &read)
{
    ConfigUpdate update = fullUpdate(read);
    if (m_revision != 0 && m_epoch != read.epoch) {
        update.earlierEpochs = {m_epoch};
        StructuredLog::warn("storeRestored",
                            {{"revision", std::to_string(read.revision)},
                             {"previousRevision", std::to_string(m_revision)}});
    }
    // A configuration that cannot be applied is not read again before it changes.
    apply(update);
    m_revision = read.revision;
    m_epoch = read.epoch;
}

bool ConfigWatcher::apply(const ConfigUpdate &update)
{
    const bool applied = m_apply(update).isOk();
    if (!applied)
        m_parts.metrics.add("config_updates_refused_total");
    return applied;
}

ConfigUpdate ConfigWatcher::fullUpdate(const RangeResult &read)
{
    ConfigUpdate update;
    update.revision = read.revision;
    update.epoch = read.epoch;
    for (const KeyValue &pair : read.pairs)
        append(update, pair, false);
    return update;
}

ConfigUpdate ConfigWatcher::delta(std::span<const WatchEvent> events, std::int64_t base)
{
    ConfigUpdate update;
    update.baseRevision = base;
    update.revision = base;
    for (const WatchEvent &event : events) {
        if (event.pair.modRevision <= base)
            continue;
        update.revision = std::max(update.revision, event.pair.modRevision);
        append(update, event.pair, event.deleted);
    }
    return update;
}

void ConfigWatcher::start()
{
    m_watcher.start();
}

void ConfigWatcher::stop()
{
    m_watcher.stop();
}

} // namespace foxtailring
