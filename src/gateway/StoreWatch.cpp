#include "StoreWatch.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/base/ThreadLocalRandom.h"
#include "foxtailring/store/KeyValueClient.h"

#include "CrashReportCodec.h"
#include "DurationText.h"
#include "GatewayKey.h"
#include "GatewayListingCodec.h"
#include "GatewayParts.h"
#include "RateLimitReportCodec.h"

#include <algorithm>
#include <utility>

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

bool isCrashReportKey(std::string_view key)
{
    return key.starts_with(CrashReportCodec::keyPrefix);
}

// Idle timeout, minimum and maximum backoff. The client itself ends polls that the store does not
// answer; the idle timeout only matters for a client that does not.
// An answer may take some seconds to be transferred (KvClient::Settings::maxPollTransfer).
constexpr PrefixWatcher::Settings watcherSettings {
    std::chrono::milliseconds(20000), std::chrono::milliseconds(100),
    std::chrono::milliseconds(800), std::chrono::milliseconds(1000)};

// After the rewrite of the others, gateways list themselves again within this time: the spread of
// their listings, one step and the calls (GatewayPublisher).
constexpr std::chrono::milliseconds relistTime {4000};
// Of log lines about entries whose service the configuration does not name.
constexpr std::chrono::seconds unnamedServiceReportInterval {10};

} // namespace

StoreWatch::StoreWatch(GatewayParts &parts, KeyValueClient &client, StoreSchema schema)
    : m_parts(parts)
    , m_client(client)
    , m_schema(std::move(schema))
    , m_rolloutWatch(parts, m_schema.rollouts)
    , m_speedReportWatch(parts)
    , m_rereadPacing(parts.settings.storeReadsPerSecond)
    , m_decoder(parts.storePool, parts.clock, m_schema.decodeConfig,
                [this](const std::shared_ptr<const ConfigDecoder::Outcome> &outcome) {
                    post([this, outcome] { onConfigDecoded(*outcome); });
                })
    , m_configTimer(parts.pool)
    , m_holdTimer(parts.pool)
    , m_watcher(parts.storePool, client, allKeysPrefix, watcherSettings, makeHooks())
{
}

void StoreWatch::start()
{
    m_watcher.start();
}

void StoreWatch::stop()
{
    m_configTimer.cancel();
    m_holdTimer.cancel();
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
        post([this, read, readAt = m_parts.clock()] { applySnapshot(read, readAt); });
        return true;
    };
    hooks.onChanges = [this](std::span<const WatchEvent> events) {
        post([this, copy = std::vector<WatchEvent>(events.begin(), events.end()),
              readAt = m_parts.clock()] { applyEvents(copy, readAt); });
        return true;
    };
    hooks.onConfirmed = [this](TimePoint confirmedAt) {
        post([this, confirmedAt] {
            m_confirmedAt = confirmedAt;
            m_parts.rateLimits.recordConfirmation(confirmedAt);
            recordProof(confirmedAt, true);
        });
    };
    hooks.onHistoryLost = [this](std::chrono::milliseconds untilRead) {
        post([this, untilRead] { onHistoryLost(untilRead); });
    };
    hooks.onBehind = [this] { post([this] { onBehind(); }); };
    hooks.rereadDelay = [this] { return randomRereadDelay(); };
    hooks.onUnavailable = [this](const Error &error) {
        StructuredLog::warn("storeLost", {{"message", error.message}});
        post([this] { m_parts.servers.onListLost(m_parts.clock()); });
    };
    hooks.onAvailable = [this] {
        StructuredLog::info("storeFollowed");
        post([this] { m_parts.servers.onListRestored(m_parts.clock()); });
    };
    hooks.onError = [this](const Error &error) {
        m_parts.metrics.add("store_failures_total{error=\"" + std::string(errorCodeName(error.code))
                            + "\"}");
        if (error.code == ErrorCode::Stale)
            post([this] { recordInterruptedRead(); });
    };
    return hooks;
}

// Revocations of keys may be among the writes that a restored store has lost.
void StoreWatch::recordEpoch(std::int64_t epoch)
{
    const TimePoint now = m_parts.clock();
    if (!m_parts.epochAge.recordSeen(epoch, now))
        return;
    const TimePoint settledFrom = m_parts.epochAge.settledFrom();
    m_parts.keyFreshness.setConfirmableFrom(settledFrom);
    m_holdTimer.once(std::chrono::ceil<std::chrono::milliseconds>(settledFrom - now),
                     [this] { post([this] { readConfig(); }); });
    StructuredLog::info("keysWaitForEpoch", {{"epoch", std::to_string(epoch)}});
}

void StoreWatch::applySettledEpoch(const KeyValue &pair)
{
    const auto epoch = GatewayListingCodec::decodeSettledEpoch(pair.value);
    if (!epoch || !m_parts.epochAge.recordSettled(*epoch, m_parts.clock()))
        return;
    m_holdTimer.cancel();
    m_parts.fleet.trustList();
    m_parts.keyFreshness.setConfirmableFrom(m_parts.epochAge.settledFrom());
    StructuredLog::info(
        "epochSettled",
        {{"epoch", std::to_string(*epoch)}, {"gateway", GatewayKey::nodeIdOf(pair.key)}});
    readConfig();
}

void StoreWatch::updateRereadSpread()
{
    const Duration spread = m_rereadPacing.spread(m_parts.fleet.size(), m_callsOfRead);
    m_rereadSpreadMs = std::chrono::ceil<std::chrono::milliseconds>(spread).count();
}

std::chrono::milliseconds StoreWatch::randomRereadDelay() const
{
    const auto bound = static_cast<std::uint64_t>(m_rereadSpreadMs.load()) + 1;
    return std::chrono::milliseconds(threadLocalRandom().bounded(bound));
}

void StoreWatch::applySnapshot(const RangeResult &read, TimePoint readAt)
{
    m_isReadDue = false;
    m_configTimer.cancel();
    m_callsOfRead = read.calls;
    const TimePoint now = m_parts.clock();
    std::vector<BackendInfo> servers;
    std::vector<RateLimitReportChange> reports;
    std::vector<std::string> gateways;
    for (const KeyValue &pair : read.pairs) {
        if (pair.key == m_schema.configKey)
            offerConfigs({{pair, read.epoch, readAt}});
        if (GatewayKey::matches(pair.key))
            gateways.push_back(GatewayKey::nodeIdOf(pair.key));
        if (isRateLimitKey(pair.key))
            reports.push_back(readRateLimitReport(pair));
        if (isCrashReportKey(pair.key))
            applyCrashReport(pair, {});
        if (!isServerKey(pair.key))
            continue;
        auto server = m_schema.decodeServer(serverIdOf(pair.key), pair.value);
        if (server) {
            reportUnnamedService(server.value());
            servers.push_back(std::move(server).value());
        } else {
            StructuredLog::warn(
                "serverEntryUnreadable",
                {{"server", serverIdOf(pair.key)}, {"message", server.error().message}});
        }
    }
    const bool isRestored = startEpoch(read);
    recordEpoch(read.epoch);
    // A process that has known the fleet before keeps it while leases are granted again.
    if (!m_parts.hasServerList && now < m_parts.epochAge.settledFrom())
        m_parts.fleet.distrustList(m_parts.epochAge.settledFrom() + relistTime);
    if (isRestored) {
        m_parts.servers.mergeRestored(servers, now);
        m_parts.rateLimits.onStoreRestored(reports, now);
    } else {
        m_parts.servers.replace(servers, now);
        m_parts.rateLimits.replaceReports(reports, now);
    }
    m_parts.fleet.replace(gateways, now);
    m_rolloutWatch.applySnapshot(read);
    m_speedReportWatch.applySnapshot(read.pairs);
    for (const KeyValue &pair : read.pairs) {
        if (!GatewayKey::matches(pair.key))
            continue;
        applySettledEpoch(pair);
        // Demands in a restored copy are older than those known.
        if (!isRestored)
            applyGatewayDemand(pair);
    }
    m_parts.updateFleetSize();
    updateRereadSpread();
    m_parts.hasServerList = true;
    StructuredLog::info("serversRead",
                        {{"servers", std::to_string(servers.size())},
                         {"epoch", std::to_string(read.epoch)},
                         {"revision", std::to_string(read.revision)}});
    m_parts.metrics.setGauge("gateway_store_epoch", static_cast<double>(read.epoch));
    reportRevision(read.revision);
    if (isRestored && m_restoredHook)
        m_restoredHook();
}

// The pages of a read were from different epochs. If it was the first read, the next one would
// otherwise look like that of a store that was not restored.
void StoreWatch::recordInterruptedRead()
{
    m_epoch = m_epoch.value_or(EpochAge::unknownEpoch);
}

// True if the store was restored from a backup since the last read.
bool StoreWatch::startEpoch(const RangeResult &read)
{
    const std::optional<std::int64_t> previous = std::exchange(m_epoch, read.epoch);
    if (!previous || *previous == read.epoch)
        return false;
    m_parts.metrics.add("gateway_store_restores_total");
    StructuredLog::warn("storeRestored",
                        {{"epoch", std::to_string(read.epoch)},
                         {"previous", std::to_string(*previous)},
                         {"revision", std::to_string(read.revision)}});
    return true;
}

void StoreWatch::applyEvents(const std::vector<WatchEvent> &events, TimePoint readAt)
{
    recordFleetBytes(events, readAt);
    applyRateLimitReports(events);
    m_speedReportWatch.applyEvents(events);
    applyGateways(events);
    m_rolloutWatch.applyEvents(events, m_epoch.value_or(EpochAge::unknownEpoch));
    if (!events.empty())
        reportRevision(events.back().pair.modRevision);
    std::vector<ConfigDecoder::Candidate> configs;
    for (const WatchEvent &event : events) {
        const KeyValue &pair = event.pair;
        if (pair.key == m_schema.configKey && !event.deleted)
            configs.push_back({pair, m_epoch.value_or(EpochAge::unknownEpoch), readAt});
        if (isCrashReportKey(pair.key) && !event.deleted)
            applyCrashReport(pair, m_confirmedAt);
        if (!isServerKey(pair.key))
            continue;
        if (event.deleted) {
            StructuredLog::info("serverGone", {{"server", serverIdOf(pair.key)}});
            m_parts.servers.remove(serverIdOf(pair.key), m_parts.clock());
        } else {
            applyServer(pair);
        }
    }
    offerConfigs(std::move(configs));
}

// What gateways write for each other, this one included.
void StoreWatch::recordFleetBytes(std::span<const WatchEvent> events, TimePoint readAt)
{
    std::size_t bytes = 0;
    for (const WatchEvent &event : events) {
        const std::string &key = event.pair.key;
        if (GatewayKey::matches(key) || isRateLimitKey(key) || isCrashReportKey(key)
            || SpeedReportWatch::isKey(key))
            bytes += FleetBudget::wireBytes(event.pair.value.size());
    }
    if (bytes == 0)
        return;
    m_parts.fleetBudget.recordRead(bytes, readAt);
    m_parts.metrics.add("gateway_fleet_bytes_read_total", static_cast<std::int64_t>(bytes));
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
            applySettledEpoch(event.pair);
        }
        // After each one: IdleConnectionShare compares the lists as they were at each time.
        m_parts.updateFleetSize();
    }
    updateRereadSpread();
}

void StoreWatch::applyGatewayDemand(const KeyValue &pair)
{
    m_parts.fleet.setDemand(GatewayKey::nodeIdOf(pair.key),
                            GatewayListingCodec::decode(pair.value));
}

void StoreWatch::applyCrashReport(const KeyValue &pair, TimePoint writtenAfter)
{
    const auto report = CrashReportCodec::decode(pair.value);
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
    reportUnnamedService(server.value());
    m_parts.servers.put(server.value(), m_parts.clock());
}

// Another writer's entries may come as often as heartbeats, so not each one is logged.
void StoreWatch::reportUnnamedService(const BackendInfo &server)
{
    if (!m_parts.routes || m_parts.routes->service(server.service))
        return;
    m_parts.metrics.add("gateway_unnamed_services_total");
    const TimePoint now = m_parts.clock();
    if (now < m_unnamedServiceReportAt)
        return;
    m_unnamedServiceReportAt = now + unnamedServiceReportInterval;
    StructuredLog::warn("serverServiceUnnamed",
                        {{"server", server.id}, {"service", server.service}});
}

void StoreWatch::reportRevision(std::int64_t revision)
{
    m_parts.metrics.setGauge("gateway_store_revision", static_cast<double>(revision));
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
