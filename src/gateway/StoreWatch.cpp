#include "StoreWatch.h"

#include "foxtailring/base/StructuredLog.h"

#include "GatewayKey.h"
#include "GatewayListingCodec.h"
#include "GatewayParts.h"
#include "PromptCrashReportCodec.h"
#include "RateLimitReportCodec.h"

#include <algorithm>

namespace foxtailring {

namespace {

// Configuration and server list have different key prefixes. Watching all keys takes one call,
// watching both prefixes would take two.
constexpr const char *allKeysPrefix = "";

bool isRateLimitKey(std::string_view key)
{
    return key.starts_with(RateLimitReportCodec::keyPrefix);
}

std::string gatewayIdOf(std::string_view key)
{
    return std::string(key.substr(RateLimitReportCodec::keyPrefix.size()));
}

// The share of a gateway whose report is unreadable goes to the others.
RateLimitReportChange readRateLimitReport(const KeyValue &pair)
{
    const std::string gatewayId = gatewayIdOf(pair.key);
    auto report = RateLimitReportCodec::decode(pair.value);
    if (report)
        return {gatewayId, std::move(report).value()};
    StructuredLog::warn("limitReportUnreadable",
                        {{"gateway", gatewayId}, {"message", report.error().message}});
    return {gatewayId, std::nullopt};
}

bool isPromptCrashKey(std::string_view key)
{
    return key.starts_with(PromptCrashReportCodec::keyPrefix);
}

// Idle timeout, minimum and maximum backoff. The client itself ends polls that the store does not
// answer; the idle timeout only matters for a client that does not.
constexpr PrefixWatcher::Settings watcherSettings {std::chrono::milliseconds(12000),
                                                   std::chrono::milliseconds(100),
                                                   std::chrono::milliseconds(800)};

} // namespace

StoreWatch::StoreWatch(GatewayParts &parts, KeyValueClient &client, StoreSchema schema)
    : m_parts(parts)
    , m_schema(std::move(schema))
    , m_watcher(parts.pool, client, allKeysPrefix, watcherSettings, makeHooks())
{
}

void StoreWatch::start()
{
    m_watcher.start();
}

void StoreWatch::stop()
{
    m_watcher.stop();
}

void StoreWatch::post(std::function<void()> work)
{
    m_parts.queue.post(std::move(work));
}

PrefixWatcherHooks StoreWatch::makeHooks()
{
    PrefixWatcherHooks hooks;
    hooks.onSnapshot = [this](const RangeResult &read) {
        post([this, read] { applySnapshot(read); });
        return true;
    };
    hooks.onChanges = [this](std::span<const WatchEvent> events) {
        post([this, copy = std::vector<WatchEvent>(events.begin(), events.end())] {
            applyEvents(copy);
        });
        return true;
    };
    hooks.onConfirmed = [this](TimePoint confirmedAt) {
        post([this, confirmedAt] {
            m_confirmedAt = confirmedAt;
            m_parts.keyFreshness.recordConfirmation(confirmedAt);
            m_parts.rateLimits.recordConfirmation(confirmedAt);
            if (m_confirmedHook)
                m_confirmedHook();
        });
    };
    hooks.onUnavailable = [this](const Error &error) {
        StructuredLog::warn("storeLost", {{"message", error.message}});
        post([this] { m_parts.servers.onListLost(); });
    };
    hooks.onAvailable = [this] {
        StructuredLog::info("storeFollowed");
        post([this] { m_parts.servers.onListRestored(m_parts.clock()); });
    };
    hooks.onError = [this](const Error &error) {
        m_parts.metrics.add("store_failures_total{error=\"" + std::string(errorCodeName(error.code))
                            + "\"}");
    };
    return hooks;
}

void StoreWatch::applySnapshot(const RangeResult &read)
{
    const TimePoint now = m_parts.clock();
    std::vector<BackendInfo> servers;
    std::vector<RateLimitReportChange> reports;
    std::vector<std::string> gateways;
    for (const KeyValue &pair : read.pairs) {
        if (pair.key == m_schema.configKey)
            applyConfig(pair);
        if (GatewayKey::matches(pair.key))
            gateways.push_back(GatewayKey::nodeIdOf(pair.key));
        if (isRateLimitKey(pair.key))
            reports.push_back(readRateLimitReport(pair));
        if (isPromptCrashKey(pair.key))
            applyPromptCrashReport(pair, {});
        if (!isServerKey(pair.key))
            continue;
        auto server = m_schema.decodeServer(serverIdOf(pair.key), pair.value);
        if (server)
            servers.push_back(std::move(server).value());
        else
            StructuredLog::warn(
                "serverEntryUnreadable",
                {{"server", serverIdOf(pair.key)}, {"message", server.error().message}});
    }
    m_parts.servers.replace(servers, now);
    m_parts.rateLimits.replaceReports(reports, now);
    m_parts.fleet.replace(gateways, now);
    for (const KeyValue &pair : read.pairs) {
        if (GatewayKey::matches(pair.key))
            applyGatewayDemand(pair);
    }
    m_parts.updateFleetSize();
    m_parts.hasServerList = true;
    StructuredLog::info(
        "serversRead",
        {{"servers", std::to_string(servers.size())}, {"revision", std::to_string(read.revision)}});
}

void StoreWatch::applyEvents(const std::vector<WatchEvent> &events)
{
    applyRateLimitReports(events);
    applyGateways(events);
    for (const WatchEvent &event : events) {
        const KeyValue &pair = event.pair;
        if (pair.key == m_schema.configKey && !event.deleted)
            applyConfig(pair);
        if (isPromptCrashKey(pair.key) && !event.deleted)
            applyPromptCrashReport(pair, m_confirmedAt);
        if (!isServerKey(pair.key))
            continue;
        if (event.deleted) {
            StructuredLog::info("serverGone", {{"server", serverIdOf(pair.key)}});
            m_parts.servers.remove(serverIdOf(pair.key), m_parts.clock());
        } else {
            applyServer(pair);
        }
    }
}

void StoreWatch::applyRateLimitReports(std::span<const WatchEvent> events)
{
    std::vector<RateLimitReportChange> changes;
    for (const WatchEvent &event : events) {
        if (!isRateLimitKey(event.pair.key))
            continue;
        if (event.deleted)
            changes.push_back({gatewayIdOf(event.pair.key), std::nullopt});
        else
            changes.push_back(readRateLimitReport(event.pair));
    }
    if (!changes.empty())
        m_parts.rateLimits.applyReports(changes, m_parts.clock());
}

void StoreWatch::applyGateways(std::span<const WatchEvent> events)
{
    const TimePoint now = m_parts.clock();
    for (const WatchEvent &event : events) {
        if (!GatewayKey::matches(event.pair.key))
            continue;
        const std::string nodeId = GatewayKey::nodeIdOf(event.pair.key);
        if (event.deleted) {
            m_parts.fleet.remove(nodeId, now);
        } else {
            m_parts.fleet.put(nodeId);
            applyGatewayDemand(event.pair);
        }
        // After each one: IdleConnectionShare compares the lists as they were at each time.
        m_parts.updateFleetSize();
    }
}

void StoreWatch::applyGatewayDemand(const KeyValue &pair)
{
    m_parts.fleet.setDemand(GatewayKey::nodeIdOf(pair.key),
                            GatewayListingCodec::decode(pair.value));
}

void StoreWatch::applyPromptCrashReport(const KeyValue &pair, TimePoint writtenAfter)
{
    const auto report = PromptCrashReportCodec::decode(pair.value);
    if (report)
        return m_parts.quarantine.applyReport(report.value(), m_parts.clock(),
                                              {pair.key, writtenAfter});
    StructuredLog::warn("crashReportUnreadable",
                        {{"key", pair.key}, {"message", report.error().message}});
}

void StoreWatch::applyServer(const KeyValue &pair)
{
    const std::string id = serverIdOf(pair.key);
    const auto server = m_schema.decodeServer(id, pair.value);
    if (!server) {
        // An unreadable entry means that the server must not be used.
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
    auto config = m_schema.decodeConfig(pair.value);
    if (!config) {
        m_parts.metrics.add("config_unreadable_total");
        StructuredLog::warn("configUnreadable", {{"message", config.error().message}});
        return;
    }
    const std::int64_t version = config.value().version;
    // A delayed response must not bring an older configuration back.
    if (m_parts.routes && version <= m_parts.routes->version())
        return;
    m_parts.routes = std::make_shared<const RouteTable>(std::move(config).value());
    StructuredLog::info(
        "configInForce",
        {{"version", std::to_string(version)}, {"revision", std::to_string(pair.modRevision)}});
    if (m_configAppliedHook)
        m_configAppliedHook();
}

bool StoreWatch::isServerKey(std::string_view key) const
{
    return key.starts_with(m_schema.serverKeyPrefix);
}

std::string StoreWatch::serverIdOf(std::string_view key) const
{
    return std::string(key.substr(m_schema.serverKeyPrefix.size()));
}

} // namespace foxtailring
