#include "RolloutPublisher.h"

#include "foxtailring/base/StructuredLog.h"

#include "GatewayParts.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

constexpr std::chrono::milliseconds stepInterval {250};
// While a roll-out runs, all gateways learn of bad answers within this time and the store's own.
constexpr std::chrono::milliseconds minBatchPause {300};
constexpr double readFraction = 0.05; ///< of the store's reads

} // namespace

RolloutPublisher::RolloutPublisher(GatewayParts &parts, KeyValueClient &client,
                                   const RolloutSchema &schema)
    : m_parts(parts)
    , m_client(client)
    , m_schema(schema)
    , m_timer(parts.pool)
{
}

void RolloutPublisher::start()
{
    if (m_parts.rollouts && !m_schema.orderKeyPrefix.empty())
        m_timer.every(stepInterval, [this] { m_parts.queue.post([this] { step(); }); });
}

void RolloutPublisher::stop()
{
    m_timer.cancel();
}

// A share of the calls that the store takes from all gateways together.
void RolloutPublisher::updatePace(bool isServing)
{
    if (!isServing)
        return m_client.limitBatchPause(std::nullopt);
    const double calls = readFraction * m_parts.settings.storeReadsPerSecond;
    const std::chrono::duration<double> spacing(static_cast<double>(m_parts.fleet.size()) / calls);
    m_client.limitBatchPause(
        std::max(minBatchPause, std::chrono::ceil<std::chrono::milliseconds>(spacing)));
}

void RolloutPublisher::step()
{
    const TimePoint now = m_parts.clock();
    bool isServing = false;
    m_parts.rollouts->forEach([&](const std::string &service, Rollout &rollout) {
        rollout.step(now);
        isServing = isServing || rollout.isOpen();
        updateMetrics(service, rollout);
        if (const auto status = rollout.takeDueStatus(now))
            writeStatus(service, rollout, *status);
    });
    updatePace(isServing);
}

void RolloutPublisher::writeStatus(const std::string &service, Rollout &rollout,
                                   const RolloutStatus &status)
{
    const auto onReply = [this, service, status, &rollout](const Result<WriteResult> &result) {
        m_parts.queue.post([this, service, status, &rollout, result] {
            if (result)
                return onWritten(service, rollout, status, result.value());
            m_parts.metrics.add("gateway_rollout_statuses_total{outcome=\"failed\"}");
            StructuredLog::warn("rolloutStatusNotWritten",
                                {{"service", service}, {"message", result.error().message}});
            rollout.onStatusNotWritten(m_parts.clock());
        });
    };
    m_client.compareAndSwap(m_schema.statusKeyPrefix + service, m_schema.encodeStatus(status),
                            rollout.statusRevision(), onReply);
}

void RolloutPublisher::onWritten(const std::string &service, Rollout &rollout,
                                 const RolloutStatus &status, const WriteResult &result)
{
    const TimePoint now = m_parts.clock();
    const std::string outcome = result.applied ? "written" : "conflict";
    m_parts.metrics.add("gateway_rollout_statuses_total{outcome=\"" + outcome + "\"}");
    if (result.applied) {
        StructuredLog::info("rolloutStatusWritten",
                            {{"service", service},
                             {"version", status.version},
                             {"share", std::to_string(status.share)},
                             {"reason", status.reason}});
        return rollout.setStatus(status, {result.epoch, result.revision}, now);
    }
    if (result.current.modRevision == 0) {
        rollout.removeStatus(result.epoch);
        return rollout.onStatusNotWritten(now);
    }
    const StoreRevision revision {result.epoch, result.current.modRevision};
    const auto current = m_schema.decodeStatus(result.current.value);
    if (current)
        return rollout.setStatus(current.value(), revision, now);
    rollout.setUnreadableStatus(revision);
    rollout.onStatusNotWritten(now);
}

void RolloutPublisher::updateMetrics(const std::string &service, const Rollout &rollout)
{
    if (!rollout.hasOrder() || !rollout.status())
        return;
    const std::string label = "{service=\"" + service + "\"";
    m_parts.metrics.setGauge("gateway_rollout_share" + label + "}", rollout.status()->share);
    m_parts.metrics.setGauge("gateway_rollout_condemned" + label + "}",
                             rollout.isCondemned() ? 1 : 0);
    const std::pair<const char *, const VersionFigures &> sides[] = {
        {"new", rollout.verdict().newFigures}, {"old", rollout.verdict().oldFigures}};
    for (const auto &[side, figures] : sides) {
        const std::string sided = label + ",versions=\"" + side + "\",outcome=\"";
        const auto set = [&](const char *outcome, std::uint64_t count) {
            m_parts.metrics.setGauge("gateway_rollout_answers" + sided + outcome + "\"}",
                                     static_cast<double>(count));
        };
        set("all", figures.answers);
        set("failed", figures.failures);
        set("slow", figures.slow);
    }
}

} // namespace foxtailring
