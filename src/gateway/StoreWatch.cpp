#include "StoreWatch.h"

#include "foxtailring/base/StructuredLog.h"

#include "GatewayParts.h"

#include <algorithm>

namespace foxtailring {

namespace {

// Configuration and server list lie under prefixes of their own; following all keys takes one call
// where two prefixes would take two.
constexpr const char *followedPrefix = "";

// The client ends a poll that the store leaves unanswered, so this is for a client that does not.
constexpr PrefixWatcher::Settings followerSettings {std::chrono::milliseconds(12000),
                                                    std::chrono::milliseconds(100),
                                                    std::chrono::milliseconds(800)};

} // namespace

StoreWatch::StoreWatch(GatewayParts &parts, KeyValueClient &client, ListReader reader)
    : m_parts(parts)
    , m_reader(std::move(reader))
    , m_follower(parts.pool, client, followedPrefix, followerSettings, hooks())
{
}

void StoreWatch::start()
{
    m_follower.start();
}

void StoreWatch::stop()
{
    m_follower.stop();
}

void StoreWatch::onQueue(std::function<void()> work)
{
    m_parts.queue.post(std::move(work));
}

PrefixWatcherHooks StoreWatch::hooks()
{
    PrefixWatcherHooks hooks;
    hooks.onSnapshot = [this](const RangeResult &read) {
        onQueue([this, read] { replace(read); });
        return true;
    };
    hooks.onChanges = [this](std::span<const WatchEvent> events) {
        onQueue(
            [this, copy = std::vector<WatchEvent>(events.begin(), events.end())] { change(copy); });
        return true;
    };
    hooks.onConfirmed = [this](TimePoint provedAt) {
        onQueue([this, provedAt] {
            m_parts.keys.recordProof(provedAt);
            if (m_confirmedHook)
                m_confirmedHook();
        });
    };
    hooks.onUnavailable = [this](const Error &error) {
        StructuredLog::warn("storeLost", {{"message", error.message}});
        onQueue([this] { m_parts.servers.onListLost(); });
    };
    hooks.onAvailable = [this] {
        StructuredLog::info("storeFollowed");
        onQueue([this] { m_parts.servers.onListRestored(m_parts.clock()); });
    };
    hooks.onError = [this](const Error &error) {
        m_parts.metrics.add("store_failures_total{error=\"" + std::string(errorCodeName(error.code))
                            + "\"}");
    };
    return hooks;
}

void StoreWatch::replace(const RangeResult &read)
{
    const TimePoint now = m_parts.clock();
    std::vector<BackendInfo> servers;
    for (const KeyValue &pair : read.pairs) {
        if (pair.key == m_reader.configKey)
            applyConfig(pair);
        if (!isServerKey(pair.key))
            continue;
        auto server = m_reader.decodeServer(idOf(pair.key), pair.value);
        if (server)
            servers.push_back(std::move(server).value());
        else
            StructuredLog::warn("serverEntryUnreadable",
                                {{"server", idOf(pair.key)}, {"message", server.error().message}});
    }
    m_parts.servers.replace(servers, now);
    m_parts.isListed = true;
    StructuredLog::info(
        "serversRead",
        {{"servers", std::to_string(servers.size())}, {"revision", std::to_string(read.revision)}});
}

void StoreWatch::change(const std::vector<WatchEvent> &events)
{
    for (const WatchEvent &event : events) {
        const KeyValue &pair = event.pair;
        if (pair.key == m_reader.configKey && !event.deleted)
            applyConfig(pair);
        if (!isServerKey(pair.key))
            continue;
        if (event.deleted) {
            StructuredLog::info("serverGone", {{"server", idOf(pair.key)}});
            m_parts.servers.remove(idOf(pair.key), m_parts.clock());
        } else {
            applyServer(pair);
        }
    }
}

void StoreWatch::applyServer(const KeyValue &pair)
{
    const std::string id = idOf(pair.key);
    const auto server = m_reader.decodeServer(id, pair.value);
    if (!server) {
        // An entry that cannot be read names no server to use.
        StructuredLog::warn("serverEntryUnreadable",
                            {{"server", id}, {"message", server.error().message}});
        return m_parts.servers.remove(id, m_parts.clock());
    }
    StructuredLog::info("serverListed",
                        {{"server", id},
                         {"service", server.value().service},
                         {"draining", server.value().isDraining ? "true" : "false"}});
    m_parts.servers.put(server.value(), m_parts.clock());
}

void StoreWatch::applyConfig(const KeyValue &pair)
{
    auto config = m_reader.decodeConfig(pair.value);
    if (!config) {
        m_parts.metrics.add("config_unreadable_total");
        StructuredLog::warn("configUnreadable", {{"message", config.error().message}});
        return;
    }
    const std::int64_t version = config.value().version;
    // A late answer never takes a node back.
    if (m_parts.routes && version <= m_parts.routes->version())
        return;
    m_parts.routes = std::make_shared<const RouteTable>(std::move(config).value());
    StructuredLog::info(
        "configInForce",
        {{"version", std::to_string(version)}, {"revision", std::to_string(pair.modRevision)}});
    if (m_configHook)
        m_configHook();
}

bool StoreWatch::isServerKey(std::string_view key) const
{
    return key.starts_with(m_reader.serverPrefix);
}

std::string StoreWatch::idOf(std::string_view key) const
{
    return std::string(key.substr(m_reader.serverPrefix.size()));
}

} // namespace foxtailring
