#include "RateLimitPublisher.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/store/KeyValueClient.h"

#include "GatewayParts.h"
#include "RateLimitReportCodec.h"

namespace foxtailring {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds stepInterval {250};
// The key of a gateway that has ended or is cut off disappears after this time.
constexpr seconds leaseDuration {10};
constexpr seconds leaseRenewalInterval {3};
// With a random spread, since the store may have rejected all gateways at once.
constexpr milliseconds minFailurePause {500};
constexpr milliseconds failurePauseSpread {1000};

} // namespace

RateLimitPublisher::RateLimitPublisher(GatewayParts &parts, KeyValueClient &client)
    : m_parts(parts)
    , m_client(client)
    , m_key(std::string(RateLimitReportCodec::keyPrefix) + parts.settings.nodeId)
    , m_timer(parts.pool)
{
}

void RateLimitPublisher::start()
{
    m_timer.every(stepInterval, [this] { m_parts.queue.post([this] { step(); }); });
}

void RateLimitPublisher::stop()
{
    m_timer.cancel();
}

void RateLimitPublisher::step()
{
    const TimePoint now = m_parts.clock();
    m_parts.rateLimits.expire(now);
    if (m_isCalling || now < m_pausedUntil)
        return;
    forgetEndedLease(now);
    if (m_lease == 0) {
        if (m_parts.rateLimits.wantsReport(now))
            grantLease();
        return;
    }
    if (const auto report = m_parts.rateLimits.takeDueReport(now))
        return publish(*report);
    if (m_parts.rateLimits.hasReport() && now - m_leaseRenewedAt >= leaseRenewalInterval)
        renewLease();
}

// After a time without a limit. The key has ended with its lease.
void RateLimitPublisher::forgetEndedLease(TimePoint now)
{
    if (m_lease == 0 || now - m_leaseRenewedAt < leaseDuration)
        return;
    m_lease = 0;
    m_revision = 0;
}

void RateLimitPublisher::grantLease()
{
    m_isCalling = true;
    const TimePoint askedAt = m_parts.clock();
    m_client.grantLease(leaseDuration, [this, askedAt](const Result<std::int64_t> &lease) {
        m_parts.queue.post([this, askedAt, lease] {
            m_isCalling = false;
            if (!lease)
                return onFailed("grantLease", lease.error());
            m_lease = lease.value();
            m_leaseRenewedAt = askedAt;
            step();
        });
    });
}

void RateLimitPublisher::renewLease()
{
    m_isCalling = true;
    const TimePoint askedAt = m_parts.clock();
    m_client.keepAlive(m_lease, [this, askedAt](const Result<std::int64_t> &left) {
        m_parts.queue.post([this, askedAt, left] {
            m_isCalling = false;
            if (!left)
                return onFailed("keepAlive", left.error());
            m_leaseRenewedAt = askedAt;
        });
    });
}

void RateLimitPublisher::publish(const RateLimitReport &report)
{
    m_isCalling = true;
    const auto hook = [this](const Result<WriteResult> &result) {
        m_parts.queue.post([this, result] {
            m_isCalling = false;
            if (!result)
                return onFailed("write", result.error());
            onWritten(result.value());
        });
    };
    m_client.compareAndSwap(m_key, RateLimitReportCodec::encode(report), m_revision, hook, m_lease);
}

// A conflict shows the effect of an earlier write whose reply was lost, or the end of a lease.
void RateLimitPublisher::onWritten(const WriteResult &result)
{
    m_revision = result.applied ? result.revision : result.current.modRevision;
    if (result.applied)
        return m_parts.metrics.add("gateway_limit_reports_total{outcome=\"written\"}");
    m_parts.metrics.add("gateway_limit_reports_total{outcome=\"conflict\"}");
    StructuredLog::info("limitReportConflict", {{"revision", std::to_string(m_revision)}});
    m_parts.rateLimits.onReportNotPublished();
}

void RateLimitPublisher::onFailed(std::string_view call, const Error &error)
{
    m_parts.metrics.add("gateway_limit_reports_total{outcome=\"failed\"}");
    StructuredLog::warn("limitReportFailed",
                        {{"call", std::string(call)},
                         {"error", std::string(errorCodeName(error.code))},
                         {"message", error.message}});
    if (error.code == ErrorCode::NotFound)
        m_lease = 0;
    m_parts.rateLimits.onReportNotPublished();
    const auto spread = m_parts.random.bounded(failurePauseSpread.count());
    m_pausedUntil = m_parts.clock() + minFailurePause + milliseconds(spread);
}

} // namespace foxtailring
