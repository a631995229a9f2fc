#include "RolloutWatch.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/gateway/RolloutWitnessCodec.h"
#include "foxtailring/store/RangeResult.h"
#include "foxtailring/store/WatchEvent.h"

#include "GatewayParts.h"

#include <utility>

namespace foxtailring {

RolloutWatch::RolloutWatch(GatewayParts &parts, const RolloutSchema &schema)
    : m_parts(parts)
    , m_schema(schema)
{
}

RolloutWatch::Kind RolloutWatch::kindOf(std::string_view key) const
{
    if (!m_parts.rollouts || m_schema.orderKeyPrefix.empty())
        return Kind::None;
    if (key.starts_with(m_schema.orderKeyPrefix))
        return Kind::Order;
    if (key.starts_with(m_schema.statusKeyPrefix))
        return Kind::Status;
    return key.starts_with(RolloutWitnessCodec::keyPrefix) ? Kind::Witness : Kind::None;
}

std::string RolloutWatch::nameOf(std::string_view key, Kind kind) const
{
    if (kind == Kind::Witness)
        return std::string(key.substr(RolloutWitnessCodec::keyPrefix.size()));
    const std::string &prefix =
        kind == Kind::Order ? m_schema.orderKeyPrefix : m_schema.statusKeyPrefix;
    return std::string(key.substr(prefix.size()));
}

// Orders come first: whether a status and a witness are of use depends on them.
void RolloutWatch::applySnapshot(const RangeResult &read)
{
    if (!m_parts.rollouts)
        return;
    std::set<std::string> ordered;
    std::set<std::string> reported;
    std::set<std::string> witnesses;
    for (const Kind kind : {Kind::Order, Kind::Status, Kind::Witness}) {
        for (const KeyValue &pair : read.pairs) {
            if (kindOf(pair.key) != kind)
                continue;
            if (kind == Kind::Order) {
                ordered.insert(nameOf(pair.key, kind));
                applyOrder(pair, read.epoch, false);
            } else if (kind == Kind::Status) {
                reported.insert(nameOf(pair.key, kind));
                applyStatus(pair, read.epoch);
            } else {
                applyWitness(pair);
            }
        }
    }
    const TimePoint now = m_parts.clock();
    m_parts.rollouts->forEach([&](const std::string &service, Rollout &rollout) {
        if (!reported.contains(service))
            rollout.removeStatus(read.epoch);
        if (!ordered.contains(service))
            rollout.removeOrder(read.epoch, now);
    });
    m_isFirstSnapshot = false;
}

void RolloutWatch::applyEvents(std::span<const WatchEvent> events, std::int64_t epoch)
{
    for (const WatchEvent &event : events) {
        const Kind kind = kindOf(event.pair.key);
        if (kind == Kind::None)
            continue;
        if (event.deleted)
            remove(event.pair.key, epoch);
        else if (kind == Kind::Order)
            applyOrder(event.pair, epoch, true);
        else if (kind == Kind::Status)
            applyStatus(event.pair, epoch);
        else
            applyWitness(event.pair);
    }
}

void RolloutWatch::remove(std::string_view key, std::int64_t epoch)
{
    const Kind kind = kindOf(key);
    const std::string name = nameOf(key, kind);
    if (kind == Kind::Order)
        m_parts.rollouts->of(name).removeOrder(epoch, m_parts.clock());
    else if (kind == Kind::Status)
        m_parts.rollouts->of(name).removeStatus(epoch);
    else
        m_parts.rollouts->removeWitnesses(name);
}

void RolloutWatch::applyOrder(const KeyValue &pair, std::int64_t epoch, bool isLive)
{
    const std::string service = nameOf(pair.key, Kind::Order);
    const auto order = m_schema.decodeOrder(service, pair.value);
    if (order)
        return m_parts.rollouts->of(service).setOrder(order.value(), {epoch, pair.modRevision},
                                                      isLive, m_parts.clock());
    m_parts.metrics.add("gateway_rollout_unreadable_total{kind=\"order\"}");
    StructuredLog::warn("rolloutOrderUnreadable",
                        {{"service", service}, {"message", order.error().message}});
}

void RolloutWatch::applyStatus(const KeyValue &pair, std::int64_t epoch)
{
    const std::string service = nameOf(pair.key, Kind::Status);
    const auto status = m_schema.decodeStatus(pair.value);
    const StoreRevision revision {epoch, pair.modRevision};
    if (status)
        return m_parts.rollouts->of(service).setStatus(status.value(), revision, m_parts.clock());
    m_parts.metrics.add("gateway_rollout_unreadable_total{kind=\"status\"}");
    StructuredLog::warn("rolloutStatusUnreadable",
                        {{"service", service}, {"message", status.error().message}});
    m_parts.rollouts->of(service).setUnreadableStatus(revision);
}

void RolloutWatch::applyWitness(const KeyValue &pair)
{
    const std::string gatewayId = nameOf(pair.key, Kind::Witness);
    const bool isOwn = gatewayId == m_parts.settings.nodeId;
    if (isOwn && !m_isFirstSnapshot)
        return;
    const auto witnesses = RolloutWitnessCodec::decode(pair.value);
    if (witnesses && isOwn)
        return m_parts.rollouts->restoreWitnesses(witnesses.value());
    if (witnesses)
        return m_parts.rollouts->setWitnesses(gatewayId, witnesses.value());
    m_parts.metrics.add("gateway_rollout_unreadable_total{kind=\"witness\"}");
    StructuredLog::warn("rolloutWitnessUnreadable",
                        {{"gateway", gatewayId}, {"message", witnesses.error().message}});
    m_parts.rollouts->removeWitnesses(gatewayId);
}

} // namespace foxtailring
