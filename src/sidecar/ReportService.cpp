#include "foxtailring/sidecar/ReportService.h"

#include "foxtailring/decisions/configuration/ConfigState.h"
#include "foxtailring/decisions/membership/DrainState.h"
#include "foxtailring/protocol/LoadReport.h"
#include "foxtailring/protocol/WatchReports.h"
#include "foxtailring/sidecar/LoadMonitor.h"
#include "foxtailring/sidecar/MessageStream.h"
#include "foxtailring/sidecar/SidecarSettings.h"
#include "foxtailring/transport/Timer.h"

#include <algorithm>

namespace foxtailring {

namespace {

// Keeps one watcher from costing more than the control overhead of the node allows.
constexpr std::uint32_t leastIntervalMs = 50;
// A watcher that takes nothing gets the next report when it has taken these.
constexpr std::size_t maxPendingReportBytes = 64 * 1024;

} // namespace

struct ReportService::Watcher
{
    Watcher(std::shared_ptr<MessageStream> opened, WorkerPool &pool)
        : stream(std::move(opened))
        , timer(pool)
    {
    }

    const std::shared_ptr<MessageStream> stream;
    Timer timer;
};

ReportService::ReportService(const SidecarContext &context)
    : m_context(context)
{
}

ReportService::~ReportService() = default;

void ReportService::open(const std::shared_ptr<Http2Stream> &stream)
{
    MessageStream::open(
        stream,
        [self = shared_from_this()](const std::shared_ptr<MessageStream> &opened,
                                    const Frame &frame) { self->takeFrame(opened, frame); });
}

void ReportService::takeFrame(const std::shared_ptr<MessageStream> &stream, const Frame &frame)
{
    stream->onFrame(nullptr);
    const auto request = decodeMessage<WatchReports>(frame);
    if (!request)
        return stream->reset();
    const auto watcher = std::make_shared<Watcher>(stream, m_context.pool);
    {
        const std::lock_guard lock(m_mutex);
        m_watchers.push_back(watcher);
    }
    stream->onClosed([self = shared_from_this(), watcher] {
        watcher->timer.cancel();
        const std::lock_guard lock(self->m_mutex);
        std::erase(self->m_watchers, watcher);
    });
    send(*stream);
    const std::uint32_t interval = std::max(leastIntervalMs, request.value().intervalMs);
    watcher->timer.every(std::chrono::milliseconds(interval),
                         [weak = weak_from_this(), opened = std::weak_ptr(stream)] {
                             const auto self = weak.lock();
                             const auto locked = opened.lock();
                             if (self && locked)
                                 self->send(*locked);
                         });
}

void ReportService::sendToAll()
{
    std::vector<std::shared_ptr<Watcher>> watchers;
    {
        const std::lock_guard lock(m_mutex);
        watchers = m_watchers;
    }
    for (const auto &watcher : watchers)
        send(*watcher->stream);
}

void ReportService::stop()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &watcher : m_watchers)
        watcher->timer.cancel();
}

void ReportService::send(MessageStream &stream)
{
    if (stream.pendingBytes() <= maxPendingReportBytes)
        stream.send(report());
}

LoadReport ReportService::report()
{
    LoadReport report;
    report.serverId = m_context.settings->nodeId;
    report.service = m_context.settings->service;
    report.incarnation = m_context.incarnation;
    report.sequence = ++m_sequence;
    const BackendLoad load = m_context.load->load();
    report.running = load.running;
    report.waiting = load.waiting;
    report.capacity = load.capacity;
    report.leaving = !m_context.drain->takesNewWork();
    const auto config = m_context.config->snapshot();
    report.configRevision = config->revision;
    report.configEpoch = config->epoch;
    report.prefixHashes = m_context.load->prefixHashes();
    return report;
}

} // namespace foxtailring
