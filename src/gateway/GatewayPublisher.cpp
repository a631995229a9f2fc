#include "GatewayPublisher.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/gateway/RolloutWitnessCodec.h"

#include "CrashReportCodec.h"
#include "GatewayKey.h"
#include "GatewayListingCodec.h"
#include "GatewayParts.h"
#include "RateLimitReportCodec.h"
#include "SpeedReportCodec.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds stepInterval {250};
// The keys of a gateway that has ended or is cut off disappear after this time.
constexpr seconds leaseDuration {15};
constexpr seconds leaseRenewalInterval {5};
// Hundreds of gateways start at the same time, and the store takes a few hundred writes per second.
constexpr milliseconds startSpread {3000};
// By then the store has shown a key that was written.
constexpr seconds listingVisibleAfter {5};
// With a random spread, since the store may have rejected all gateways at once.
constexpr milliseconds minFailurePause {500};
constexpr milliseconds maxFailurePause {4000};
constexpr milliseconds failurePauseSpread {1000};

} // namespace

GatewayPublisher::GatewayPublisher(GatewayParts &parts, KeyValueClient &client)
    : m_parts(parts)
    , m_client(client)
    , m_listing {GatewayKey::of(parts.settings.nodeId)}
    , m_report {std::string(RateLimitReportCodec::keyPrefix) + parts.settings.nodeId}
    , m_crashReport {std::string(CrashReportCodec::keyPrefix) + parts.settings.nodeId}
    , m_witnesses {std::string(RolloutWitnessCodec::keyPrefix) + parts.settings.nodeId}
    , m_speeds {std::string(SpeedReportCodec::keyPrefix) + parts.settings.nodeId}
    , m_crashProber(parts)
    , m_timer(parts.pool)
    , m_failurePause(minFailurePause)
{
}

void GatewayPublisher::start()
{
    m_parts.queue.post([this] { m_enlistAt = m_parts.clock() + randomDelay(startSpread); });
    m_timer.every(stepInterval, [this] { m_parts.queue.post([this] { step(); }); });
}

void GatewayPublisher::stop()
{
    m_timer.cancel();
}

void GatewayPublisher::step()
{
    const TimePoint now = m_parts.clock();
    m_parts.updateUnixOffset();
    m_parts.servers.expire(now);
    m_parts.rateLimits.expire(now);
    m_crashProber.step(now);
    m_parts.quarantine.expire(now);
    m_parts.metrics.setGauge("gateway_suspects_quarantined",
                             static_cast<double>(m_parts.quarantine.quarantineCount()));
    m_parts.pauses.expire(now);
    m_parts.updateFleetSize();
    if (const auto age = m_parts.keyFreshness.age(now))
        m_parts.metrics.setGauge("gateway_store_confirmed_age_seconds",
                                 std::chrono::duration<double>(*age).count());
    if (m_isCalling || now < m_pausedUntil)
        return;
    forgetEndedLease(now);
    if (m_lease.id == 0) {
        if (now >= m_enlistAt || m_parts.rateLimits.wantsReport(now)
            || m_parts.quarantine.wantsReport(now))
            grantLease();
        return;
    }
    if (m_crashReport.lease.id != 0 && m_crashReport.lease != m_lease)
        m_parts.quarantine.onReportNotPublished();
    const FleetBudget &budget = m_parts.fleetBudget;
    m_parts.metrics.setGauge("gateway_fleet_bytes_per_second", budget.readRate(now));
    if (budget.mayWriteUrgent(now)) {
        if (const auto report = m_parts.quarantine.takeDueReport(now, budget.mayWrite(now)))
            return publish(*report);
    }
    if (const auto report = m_parts.rateLimits.takeDueReport(now))
        return publish(*report);
    if (const auto witnesses = takeDueWitnesses(now))
        return publish(*witnesses);
    if (isListingDue(now))
        return enlist();
    if (now - m_leaseRenewedAt >= leaseRenewalInterval)
        return renewLease();
    if (const auto report = takeDueSpeeds(now))
        publish(*report);
}

bool GatewayPublisher::isListingDue(TimePoint now)
{
    if (now < m_enlistAt)
        return false;
    if (m_listing.lease != m_lease || isDemandDue() || isEpochDue(now))
        return true;
    const bool isVisible = m_parts.fleet.isListed(m_parts.settings.nodeId);
    return !isVisible && now - m_listing.writtenAt >= listingVisibleAfter;
}

bool GatewayPublisher::isDemandDue()
{
    const auto due =
        m_parts.idleConnections.takeDueDemand(m_parts.fleet.ownDemand(), m_parts.fleet.size());
    if (due)
        m_demand = due;
    return due.has_value();
}

// All gateways that saw one restore know at about the same time that its epoch is settled.
bool GatewayPublisher::isEpochDue(TimePoint now)
{
    const auto settled = m_parts.epochAge.settledEpoch(now);
    if (!settled || settled == m_listedEpoch)
        return false;
    if (std::exchange(m_epochToList, settled) != settled)
        m_listEpochAt = now + randomDelay(startSpread);
    return now >= m_listEpochAt;
}

// The keys have ended with the lease.
void GatewayPublisher::forgetEndedLease(TimePoint now)
{
    if (m_lease.id != 0 && now - m_leaseRenewedAt >= leaseDuration)
        m_lease = {};
}

void GatewayPublisher::onStoreRestored()
{
    forgetKeys();
    m_enlistAt = m_parts.clock() + randomDelay(startSpread);
}

// The lease ended with the epoch in which it was granted, and the keys are lost or hold old values.
void GatewayPublisher::forgetKeys()
{
    m_lease = {};
    for (LeasedKey *key : {&m_listing, &m_report, &m_crashReport, &m_witnesses, &m_speeds})
        *key = LeasedKey {key->name};
    m_parts.quarantine.onReportNotPublished();
    m_parts.speedPublication.onNotPublished();
}

void GatewayPublisher::grantLease()
{
    m_isCalling = true;
    const TimePoint askedAt = m_parts.clock();
    m_client.grantLease(leaseDuration, [this, askedAt](const Result<StoreLease> &lease) {
        m_parts.queue.post([this, askedAt, lease] {
            m_isCalling = false;
            if (!lease)
                return onFailed("grantLease", lease.error());
            m_lease = lease.value();
            m_leaseRenewedAt = askedAt;
            m_failurePause = minFailurePause;
            step();
        });
    });
}

void GatewayPublisher::renewLease()
{
    m_isCalling = true;
    const TimePoint askedAt = m_parts.clock();
    m_client.keepAlive(m_lease, [this, askedAt](const Result<std::chrono::seconds> &left) {
        m_parts.queue.post([this, askedAt, left] {
            m_isCalling = false;
            if (!left)
                return onFailed("keepAlive", left.error());
            m_leaseRenewedAt = askedAt;
            m_failurePause = minFailurePause;
        });
    });
}

void GatewayPublisher::enlist()
{
    const auto epoch = m_parts.epochAge.settledEpoch(m_parts.clock());
    write(m_listing, GatewayListingCodec::encode(m_demand, epoch),
          [this, epoch](const Result<WriteResult> &result) {
              if (!result)
                  return onFailed("enlist", result.error());
              if (!result.value().applied)
                  return;
              m_listedEpoch = epoch;
              StructuredLog::info("enlisted",
                                  {{"revision", std::to_string(m_listing.revision.number)}});
          });
}

void GatewayPublisher::publish(const RateLimitReport &report)
{
    write(m_report, RateLimitReportCodec::encode(report), [this](const auto &result) {
        if (result)
            return onReportWritten(result.value());
        m_parts.metrics.add("gateway_limit_reports_total{outcome=\"failed\"}");
        onFailed("writeReport", result.error());
    });
}

void GatewayPublisher::publish(const CrashReport &report)
{
    write(m_crashReport, CrashReportCodec::encode(report), [this](const auto &result) {
        if (result)
            return onCrashReportWritten(result.value());
        m_parts.metrics.add("gateway_crash_reports_total{outcome=\"failed\"}");
        m_parts.quarantine.onReportNotPublished();
        onFailed("writeCrashReport", result.error());
    });
}

void GatewayPublisher::onCrashReportWritten(const WriteResult &result)
{
    if (result.applied)
        return m_parts.metrics.add("gateway_crash_reports_total{outcome=\"written\"}");
    m_parts.metrics.add("gateway_crash_reports_total{outcome=\"conflict\"}");
    m_parts.quarantine.onReportNotPublished();
}

std::optional<Rollouts::Witnesses> GatewayPublisher::takeDueWitnesses(TimePoint now)
{
    if (!m_parts.rollouts)
        return std::nullopt;
    if (m_witnesses.lease.id != 0 && m_witnesses.lease != m_lease)
        m_parts.rollouts->onWitnessesNotWritten();
    return m_parts.rollouts->takeDueWitnesses(now);
}

void GatewayPublisher::publish(const Rollouts::Witnesses &witnesses)
{
    const std::string value = RolloutWitnessCodec::encode(witnesses);
    m_parts.metrics.add("gateway_rollout_witness_bytes_total",
                        static_cast<std::int64_t>(value.size()));
    write(m_witnesses, value, [this](const auto &result) {
        const bool isWritten = result && result.value().applied;
        m_parts.metrics.add(isWritten ? "gateway_rollout_witnesses_total{outcome=\"written\"}"
                                      : "gateway_rollout_witnesses_total{outcome=\"failed\"}");
        if (!isWritten)
            m_parts.rollouts->onWitnessesNotWritten();
        if (!result)
            onFailed("writeWitnesses", result.error());
    });
}

std::optional<SpeedReport> GatewayPublisher::takeDueSpeeds(TimePoint now)
{
    const EngineSpeeds &speeds = m_parts.servers.speeds();
    m_parts.metrics.setGauge("gateway_engines_timed", static_cast<double>(speeds.engineCount()));
    if (!m_parts.placesBySpeed())
        return std::nullopt;
    if (m_speeds.lease.id != 0 && m_speeds.lease != m_lease)
        m_parts.speedPublication.onNotPublished();
    return m_parts.speedPublication.takeDueReport(speeds, m_parts.fleetBudget, now);
}

void GatewayPublisher::publish(const SpeedReport &report)
{
    const auto countOutcome = [this](std::string_view outcome) {
        m_parts.metrics.add("gateway_speed_reports_total{outcome=\"" + std::string(outcome)
                            + "\"}");
    };
    m_parts.metrics.setGauge("gateway_engine_speeds_reported",
                             static_cast<double>(report.readings.size()));
    write(m_speeds, SpeedReportCodec::encode(report), [this, countOutcome](const auto &result) {
        if (result && result.value().applied)
            return countOutcome("written");
        m_parts.speedPublication.onNotPublished();
        if (result)
            return countOutcome("conflict");
        countOutcome("failed");
        onFailed("writeSpeeds", result.error());
    });
}

// A conflict shows the effect of an earlier write whose reply was lost, of an earlier process with
// the same node id, or the end of a lease.
void GatewayPublisher::write(LeasedKey &key, const std::string &value,
                             const KeyValueClient::WriteHook &hook)
{
    m_isCalling = true;
    const auto onReply = [this, &key, lease = m_lease, hook](const Result<WriteResult> &result) {
        m_parts.queue.post([this, &key, lease, hook, result] {
            m_isCalling = false;
            if (result)
                recordWritten(key, lease, result.value());
            hook(result);
        });
    };
    const std::size_t bytes = FleetBudget::wireBytes(value.size());
    m_parts.fleetBudget.recordWrite(bytes, m_parts.clock());
    m_parts.metrics.add("gateway_fleet_bytes_written_total", static_cast<std::int64_t>(bytes));
    m_client.compareAndSwap(key.name, value, key.revision, onReply, m_lease);
}

void GatewayPublisher::recordWritten(LeasedKey &key, StoreLease lease, const WriteResult &result)
{
    key.revision = {result.epoch, result.applied ? result.revision : result.current.modRevision};
    if (!result.applied)
        return;
    key.lease = lease;
    key.writtenAt = m_parts.clock();
    m_failurePause = minFailurePause;
}

void GatewayPublisher::onReportWritten(const WriteResult &result)
{
    if (result.applied)
        return m_parts.metrics.add("gateway_limit_reports_total{outcome=\"written\"}");
    m_parts.metrics.add("gateway_limit_reports_total{outcome=\"conflict\"}");
    StructuredLog::info("limitReportConflict",
                        {{"revision", std::to_string(m_report.revision.number)}});
    m_parts.rateLimits.onReportNotPublished();
}

void GatewayPublisher::onFailed(std::string_view call, const Error &error)
{
    m_parts.metrics.add("gateway_publish_failures_total{call=\"" + std::string(call) + "\"}");
    StructuredLog::warn("publishFailed",
                        {{"call", std::string(call)},
                         {"error", std::string(errorCodeName(error.code))},
                         {"message", error.message}});
    if (error.code == ErrorCode::NotFound)
        m_lease = {};
    if (error.code == ErrorCode::Stale)
        forgetKeys();
    m_parts.rateLimits.onReportNotPublished();
    m_pausedUntil = m_parts.clock() + m_failurePause + randomDelay(failurePauseSpread);
    m_failurePause = std::min(2 * m_failurePause, maxFailurePause);
}

milliseconds GatewayPublisher::randomDelay(milliseconds bound)
{
    return milliseconds(m_parts.random.bounded(static_cast<std::uint64_t>(bound.count())));
}

} // namespace foxtailring
