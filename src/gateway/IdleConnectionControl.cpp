#include "IdleConnectionControl.h"

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"

#include <cstdint>
#include <utility>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds closeInterval {100};

} // namespace

IdleConnectionControl::IdleConnectionControl(WorkerPool &pool, Http1Client &client,
                                             MetricRegistry &metrics, Clock clock,
                                             Settings settings)
    : m_client(client)
    , m_metrics(metrics)
    , m_clock(std::move(clock))
    , m_settings(std::move(settings))
    , m_limit(m_settings.fleetLimit, m_settings.maxKeptFor)
    , m_demand(m_settings.demandPhase)
    , m_timer(pool)
{
    m_client.setKeepIdleHook([this](const Endpoint &endpoint, std::size_t idleCount) {
        return keepFor(endpoint, idleCount);
    });
    m_timer.every(closeInterval, [this] { closeExpired(); });
}

IdleConnectionControl::~IdleConnectionControl()
{
    m_client.setKeepIdleHook(nullptr);
}

void IdleConnectionControl::setProcessCount(std::size_t count)
{
    const std::lock_guard lock(m_mutex);
    m_limit.setProcessCount(count);
}

void IdleConnectionControl::setShare(double share)
{
    const std::lock_guard lock(m_mutex);
    m_limit.setShare(share);
}

std::optional<int> IdleConnectionControl::takeDueDemand(std::optional<int> listed,
                                                        std::size_t processCount)
{
    const std::lock_guard lock(m_mutex);
    return m_demand.takeDue(listed, processCount, m_clock());
}

std::size_t IdleConnectionControl::onConnectionFailed(const Endpoint &endpoint)
{
    {
        const std::lock_guard lock(m_mutex);
        m_limit.recordReset(endpoint.toString(), m_clock());
    }
    // Without the lock, since the client calls the hook under a lock of its own.
    const std::size_t count = m_client.closeIdle(endpoint);
    if (count > 0)
        m_metrics.add(closedCounter("connectionFailed"), static_cast<std::int64_t>(count));
    return count;
}

milliseconds IdleConnectionControl::keepFor(const Endpoint &endpoint, std::size_t idleCount)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_clock();
    m_demand.record(now);
    const milliseconds time = m_limit.keepFor(endpoint.toString(), idleCount, now);
    if (time.count() == 0)
        m_metrics.add(closedCounter("limit"));
    return time;
}

void IdleConnectionControl::closeExpired()
{
    m_client.closeExpiredIdle();
    m_metrics.setGauge("gateway_idle_connections{client=\"" + m_settings.name + "\"}",
                       static_cast<double>(m_client.idleCount()));
    const std::lock_guard lock(m_mutex);
    m_limit.expire(m_clock());
}

std::string IdleConnectionControl::closedCounter(const std::string &cause) const
{
    return "gateway_idle_connections_closed_total{client=\"" + m_settings.name + "\",cause=\""
        + cause + "\"}";
}

} // namespace foxtailring
