#include "SidecarFollower.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/protocol/Frame.h"
#include "foxtailring/protocol/WatchReports.h"
#include "foxtailring/transport/Http2Stream.h"

#include "EntryParts.h"
#include "foxtailring/base/Jitter.h"
#include "FrameHooks.h"
#include "SidecarLink.h"
#include "SidecarPaths.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tickInterval {100};
constexpr milliseconds leastBackOff {250};
constexpr milliseconds mostBackOff {2000};

// A report has to arrive within the time to suspicion, with room for one that is late.
LivenessSettings linkLiveness(const EntrySettings &settings, milliseconds reportInterval)
{
    LivenessSettings out = settings.session.liveness;
    out.suspectAfter = std::max(out.suspectAfter, reportInterval * 2);
    return out;
}

// Membership changes all the time; a small change of the interval is not worth a new stream.
bool differsMuch(milliseconds present, milliseconds wanted)
{
    return wanted > present * 5 / 4 || present > wanted * 5 / 4;
}

} // namespace

SidecarFollower::SidecarFollower(EntryParts &parts, std::string serverId,
                                 std::shared_ptr<SidecarLink> link)
    : m_parts(parts)
    , m_serverId(std::move(serverId))
    , m_link(link)
    , m_queue(parts.pool)
    , m_timer(parts.pool)
    , m_push(parts, std::move(link))
    , m_reportInterval(parts.settings.reportInterval)
    , m_liveness(linkLiveness(parts.settings, m_reportInterval), parts.clock())
{
}

void SidecarFollower::start()
{
    // Hooks of timers and streams may outlive this object.
    const std::weak_ptr<SidecarFollower> weak = weak_from_this();
    m_push.setPost([weak](std::function<void()> work) {
        if (const auto self = weak.lock())
            self->m_queue.post([self, work = std::move(work)] { work(); });
    });
    m_timer.every(tickInterval, [weak] {
        if (const auto self = weak.lock())
            self->m_queue.post([self] { self->tick(); });
    });
    m_queue.post([self = shared_from_this()] { self->openReports(false); });
}

void SidecarFollower::stop()
{
    m_timer.cancel();
    m_queue.post([self = shared_from_this()] {
        self->m_stopped = true;
        self->m_push.close();
        if (self->m_reports.stream)
            self->m_reports.stream->reset();
    });
}

void SidecarFollower::configChanged()
{
    m_queue.post([self = shared_from_this()] {
        if (!self->m_stopped && self->m_liveness.state() != Liveness::Lost)
            self->m_push.pushIfBehind(self->m_parts.clock());
    });
}

void SidecarFollower::setReportInterval(milliseconds interval)
{
    m_queue.post([self = shared_from_this(), interval] {
        if (self->m_stopped || !differsMuch(self->m_reportInterval, interval))
            return;
        self->m_reportInterval = interval;
        if (self->m_liveness.state() != Liveness::Alive)
            return;
        const TimePoint now = self->m_parts.clock();
        self->m_liveness = LivenessMonitor(linkLiveness(self->m_parts.settings, interval), now);
        self->openReports(false);
    });
}

void SidecarFollower::openReports(bool newConnection)
{
    if (m_stopped)
        return;
    m_reopenAt = TimePoint::max();
    if (m_reports.stream)
        m_reports.stream->reset();
    m_reports = newConnection ? m_link->openAnew(sidecar_paths::reports, m_reports.connection)
                              : m_link->open(sidecar_paths::reports);
    const std::uint64_t number = ++m_streamNumber;
    const auto interval = static_cast<std::uint32_t>(m_reportInterval.count());
    m_reports.stream->send(encodeMessage(WatchReports {m_parts.settings.nodeId, interval}));
    const std::weak_ptr<SidecarFollower> weak = weak_from_this();
    FrameHooks::set(m_reports.stream,
                    {[weak, number](Frame frame) {
                         if (const auto self = weak.lock())
                             self->m_queue.post([self, number, frame = std::move(frame)] {
                                 self->frameArrived(number, frame);
                             });
                     },
                     [weak, number](const Error &) {
                         if (const auto self = weak.lock())
                             self->m_queue.post([self, number] { self->streamClosed(number); });
                     }});
}

void SidecarFollower::frameArrived(std::uint64_t stream, const Frame &frame)
{
    const auto report = decodeMessage<LoadReport>(frame);
    if (m_stopped || stream != m_streamNumber || !report)
        return;
    takeReport(report.value());
}

void SidecarFollower::takeReport(const LoadReport &report)
{
    const TimePoint now = m_parts.clock();
    if (m_liveness.state() != Liveness::Alive)
        revive();
    m_liveness.onFrameReceived(now);
    // A server that was replaced has an empty cache; its reports tell what it caches from now on.
    if (std::exchange(m_incarnation, report.incarnation) != report.incarnation)
        m_parts.hints.removeServer(report.serverId);
    if (m_parts.servers.applyReport(report, now) == ReportEffect::Applied)
        m_parts.hints.record(report.serverId, report.prefixHashes, now);
    m_push.reported(report.configRevision, report.configEpoch, report.incarnation);
    m_push.pushIfBehind(now);
}

void SidecarFollower::streamClosed(std::uint64_t stream)
{
    if (m_stopped || stream != m_streamNumber)
        return;
    if (m_liveness.state() == Liveness::Alive) {
        m_liveness.onStreamReset(m_parts.clock());
        suspect();
        return;
    }
    scheduleReopen();
}

void SidecarFollower::tick()
{
    if (m_stopped)
        return;
    const TimePoint now = m_parts.clock();
    const Liveness before = m_liveness.state();
    const Liveness state = m_liveness.check(now);
    if (state != before && state == Liveness::Suspected)
        suspect();
    else if (state != before && state == Liveness::Lost)
        lose();
    else if (now >= m_reopenAt)
        openReports(true);
    if (state == Liveness::Alive)
        m_push.pushIfBehind(now);
}

void SidecarFollower::suspect()
{
    m_parts.servers.markSuspected(m_serverId, m_parts.clock());
    m_parts.metrics.add("sidecar_links_suspected_total");
    openReports(true);
}

void SidecarFollower::lose()
{
    m_parts.servers.markLost(m_serverId, m_parts.clock());
    m_parts.metrics.add("sidecar_links_lost_total");
    StructuredLog::warn("sidecarLost", {{"server", m_serverId}});
    m_push.close();
    scheduleReopen();
}

void SidecarFollower::revive()
{
    const TimePoint now = m_parts.clock();
    if (m_liveness.state() == Liveness::Lost)
        StructuredLog::info("sidecarFound", {{"server", m_serverId}});
    m_liveness = LivenessMonitor(linkLiveness(m_parts.settings, m_reportInterval), now);
    m_parts.servers.markReachable(m_serverId, now);
    m_backOff = milliseconds(0);
}

void SidecarFollower::scheduleReopen()
{
    m_backOff = std::clamp(m_backOff * 2, leastBackOff, mostBackOff);
    m_reopenAt = m_parts.clock() + jittered(m_backOff);
}

} // namespace foxtailring
