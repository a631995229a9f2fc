// How the configuration is read and put in force, and what proves its keys.

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/store/KeyValueClient.h"

#include "DurationText.h"
#include "GatewayParts.h"
#include "StoreWatch.h"

#include <utility>

namespace foxtailring {

namespace {

constexpr std::chrono::milliseconds configReadInterval {1000};
// A full read that starts so soon has the configuration early enough.
constexpr std::chrono::milliseconds maxReadDelay {100};

} // namespace

// A full read may wait for its turn among those of the fleet. Until then the configuration is read
// alone, and keys are confirmed by that.
void StoreWatch::onHistoryLost(std::chrono::milliseconds untilRead)
{
    m_isReadDue = true;
    if (untilRead > maxReadDelay)
        readConfig();
    m_configTimer.every(configReadInterval, [this] {
        post([this] {
            if (m_isReadDue)
                readConfig();
        });
    });
}

// The newest configuration need not wait for the history before it.
void StoreWatch::onBehind()
{
    m_parts.metrics.add("gateway_store_behind_total");
    if (m_parts.clock() - m_configReadAt >= configReadInterval)
        readConfig();
}

void StoreWatch::readConfig()
{
    const TimePoint requestedAt = m_parts.clock();
    m_configReadAt = requestedAt;
    m_client.get(m_schema.configKey, [this, requestedAt](const Result<RangeResult> &read) {
        if (!read) {
            m_parts.metrics.add("store_failures_total{error=\""
                                + std::string(errorCodeName(read.error().code)) + "\"}");
            return;
        }
        post([this, requestedAt, result = read.value(), readAt = m_parts.clock()] {
            applyConfigRead(result, requestedAt, readAt);
        });
    });
}

void StoreWatch::applyConfigRead(const RangeResult &read, TimePoint requestedAt, TimePoint readAt)
{
    if (read.pairs.empty())
        return;
    recordEpoch(read.epoch);
    offerConfigs({{read.pairs.front(), read.epoch, readAt}});
    recordProof(requestedAt, false);
}

// Reads of all keys return the configuration that is known in most cases. To decode a large one
// takes a small gateway longer than all else that it does for the store.
void StoreWatch::offerConfigs(std::vector<ConfigDecoder::Candidate> candidates)
{
    if (candidates.empty())
        return;
    const ConfigDecoder::Candidate &newest = candidates.back();
    const OfferedConfig offered {{newest.epoch, newest.pair.modRevision},
                                 std::hash<std::string> {}(newest.pair.value)};
    if (std::exchange(m_newestOffer, offered) != offered)
        m_offeredConfig = m_decoder.offer(std::move(candidates));
}

void StoreWatch::onConfigDecoded(const ConfigDecoder::Outcome &outcome)
{
    for (const Error &error : outcome.errors) {
        m_parts.metrics.add("config_unreadable_total");
        StructuredLog::warn("configUnreadable", {{"message", error.message}});
    }
    if (outcome.superseded > 0)
        m_parts.metrics.add("gateway_configs_superseded_total",
                            static_cast<std::int64_t>(outcome.superseded));
    if (outcome.table)
        putInForce(outcome);
    recordUnreadable(outcome);
    m_decodedConfig = outcome.offer;
    recordWaitingProofs();
}

// Keys may have been taken away by what cannot be read. An older value that is read late changes
// nothing of that.
void StoreWatch::recordUnreadable(const ConfigDecoder::Outcome &outcome)
{
    const bool isOfAnotherEpoch = m_unreadableConfig && m_unreadableConfig->epoch != outcome.epoch;
    const std::int64_t known = m_unreadableConfig ? m_unreadableConfig->number : 0;
    if (outcome.unreadableRevision && (isOfAnotherEpoch || *outcome.unreadableRevision >= known)) {
        m_unreadableConfig = StoreRevision {outcome.epoch, *outcome.unreadableRevision};
        StructuredLog::warn("keysNotKnown",
                            {{"revision", std::to_string(*outcome.unreadableRevision)}});
    } else if (outcome.table && (isOfAnotherEpoch || outcome.revision > known)) {
        m_unreadableConfig.reset();
    }
    m_parts.metrics.setGauge("gateway_config_newest_unreadable", m_unreadableConfig ? 1 : 0);
}

void StoreWatch::putInForce(const ConfigDecoder::Outcome &outcome)
{
    const std::int64_t version = outcome.table->version();
    // A delayed response must not bring an older configuration back.
    if (m_parts.routes && version <= m_parts.routes->version())
        return;
    std::shared_ptr<const RouteTable> previous = std::exchange(m_parts.routes, outcome.table);
    ServerIdentities::Names services;
    for (const RoutedService &service : m_parts.routes->config().services)
        services.insert(service.name);
    m_parts.servers.setNamedServices(std::move(services), m_parts.clock());
    m_parts.metrics.setGauge("gateway_config_version", static_cast<double>(version));
    StructuredLog::info("configInForce",
                        {{"version", std::to_string(version)},
                         {"revision", std::to_string(outcome.revision)},
                         {"decodeMs", msText(outcome.decodeTime)},
                         {"lagMs", msText(m_parts.clock() - outcome.readAt)}});
    if (m_configAppliedHook)
        m_configAppliedHook();
    // The end of a table of thousands of routes takes time that requests need.
    m_parts.storePool.post([last = std::move(previous)] {});
}

// Keys that were withdrawn by a configuration must not count as proved before it is in force.
void StoreWatch::recordProof(TimePoint queriedAt, bool isOfAllKeys)
{
    m_waitingProofs.push_back({m_offeredConfig, queriedAt, isOfAllKeys});
    recordWaitingProofs();
}

void StoreWatch::recordWaitingProofs()
{
    while (!m_waitingProofs.empty() && m_waitingProofs.front().offer <= m_decodedConfig) {
        const WaitingProof proof = m_waitingProofs.front();
        m_waitingProofs.pop_front();
        if (!m_unreadableConfig)
            m_parts.keyFreshness.recordConfirmation(proof.queriedAt);
        if (proof.isOfAllKeys && m_confirmedHook)
            m_confirmedHook();
    }
}

} // namespace foxtailring
