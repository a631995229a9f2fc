#include "foxtailring/decisions/sessions/AttemptWatch.h"

#include "foxtailring/decisions/placement/AdmittedPlacer.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/sessions/EngineLatencyEstimator.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"
#include "foxtailring/decisions/sessions/ForwardRequest.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// Two round trips between regions: one to connect, one for the answer.
constexpr milliseconds probeTimeout {120};
// A server without a sign of life for longer has failed.
constexpr std::chrono::seconds maxServerPause {5};
// The same for a run without an event. Its caller can still be refused and try again, so it is held
// for no more than twice the pauses that sound servers make.
constexpr milliseconds maxPromptPause {2000};
// Interval of looking for another server while a run's server is silent.
constexpr milliseconds replaceRetryInterval {500};
// A doubtful server is abandoned after this time without contact.
constexpr milliseconds maxDoubtfulSilence {350};

} // namespace

AttemptWatch::AttemptWatch(const ForwardContext &context, const HttpRoute &route,
                           const ForwardRequest &request, const std::string &service,
                           AdmittedPlacer &admittedPlacer, bool canBeProbed)
    : m_context(context)
    , m_request(request)
    , m_service(service)
    , m_admittedPlacer(admittedPlacer)
    , m_canBeProbed(canBeProbed)
    , m_progress(route)
{
}

void AttemptWatch::start(bool isResumed, TimePoint now)
{
    m_progress.start(isResumed, now);
    m_state = {};
}

void AttemptWatch::resume(const RunProgress &progress)
{
    m_progress = progress;
    m_state = {};
}

void AttemptWatch::recordEvent(TimePoint now)
{
    m_progress.recordEvent(now);
    m_state.isProbing = false;
    m_state.isUnwatched = false;
    m_state.keptUntil = {};
}

TimePoint AttemptWatch::dueAt(TimePoint sentAt) const
{
    const TimePoint silentAt = m_state.isProbing
        ? TimePoint::max()
        : m_progress.lastContactAt() + m_progress.silenceThreshold();
    const TimePoint givenUpAt = m_state.isUnwatched ? TimePoint::max() : stuckAt(sentAt);
    return std::max(std::min(givenUpAt, silentAt), m_state.keptUntil);
}

TimePoint AttemptWatch::stuckAt(TimePoint sentAt) const
{
    const Duration maxFirstEventDelay = m_progress.isPrefilling()
        ? m_context.latency.maxFirstEventDelay(m_service, m_request.promptTokens)
        : Duration {0};
    return m_progress.stuckAt(sentAt, maxFirstEventDelay);
}

// True if the server is doubtful or suspected, sent no event yet, and there was no contact for too
// long. An attempt that is kept all the same is judged by its probes.
bool AttemptWatch::isPresumedLost(const BackendState &server, TimePoint now) const
{
    const auto current = m_context.servers.server(server.info.id, now);
    const bool isDoubtful = current && current->health != BackendHealth::Healthy;
    return isDoubtful && !m_progress.hasEvents() && !isKeptSilent()
        && now - m_progress.lastContactAt() >= maxDoubtfulSilence;
}

AttemptWatch::Step AttemptWatch::check(const BackendState &server, TimePoint sentAt, TimePoint now)
{
    if (!m_state.isUnwatched && (now >= stuckAt(sentAt) || isPresumedLost(server, now))) {
        m_state.isProbing = false;
        return Finding::Silent;
    }
    // The probe in progress decides.
    if (m_state.isProbing)
        return Finding::Open;
    // Without a probe, only the time limit for the next event remains.
    if (!m_canBeProbed)
        m_state.isUnwatched = false;
    const bool mayAsk = m_canBeProbed && m_admittedPlacer.tryAcquire(server.info.id, now);
    if (!mayAsk && isKeptSilent())
        return Finding::Silent;
    if (!mayAsk) {
        m_progress.recordContact(now);
        return Finding::Open;
    }
    ProbeServers probe;
    probe.servers = {server};
    probe.timeout = probeTimeout;
    probe.useNewConnections = true;
    m_state.isProbing = true;
    m_state.probedAt = now;
    return probe;
}

AttemptWatch::Finding AttemptWatch::onProbed(const BackendState &server,
                                             std::span<const ServerProbeResult> reports,
                                             std::int64_t lastEventId, TimePoint now)
{
    m_state.isProbing = false;
    m_state.isUnwatched = false;
    // Something arrived meanwhile.
    if (m_progress.lastContactAt() > m_state.probedAt)
        return Finding::Open;
    if (reports.empty())
        return Finding::Unanswered;
    if (reports.front().isTurnedAway)
        return recordWorking(now);
    return judge(server, reports.front(), lastEventId, now);
}

AttemptWatch::Finding AttemptWatch::judge(const BackendState &server,
                                          const ServerProbeResult &report, std::int64_t lastEventId,
                                          TimePoint now)
{
    const ReportedStart start =
        report.hasRun ? ReportedStart::Accepted : reportedStart(server, now);
    if (start == ReportedStart::Restarted)
        return Finding::Restarted;
    // The next probe, at once, confirms the later start or shows that it was wrong.
    if (!std::exchange(m_state.isStartUnconfirmed, start == ReportedStart::Unconfirmed)
        && start == ReportedStart::Unconfirmed)
        return Finding::Open;
    if (m_progress.isLostBy(report, lastEventId, m_state.probedAt, now))
        return recordMissing(report, now);
    m_progress.recordPrompts(report.load.prefilling + report.load.waiting);
    return recordWorking(now);
}

// What the server's own reports say. What others say about it ends no run.
ReportedStart AttemptWatch::reportedStart(const BackendState &server, TimePoint now) const
{
    const auto current = m_context.servers.server(server.info.id, now);
    return current ? current->reportedStart : ReportedStart::Accepted;
}

// A report proves little: it lags, the request or events may be on their way, and a run that was
// preempted waits unlisted.
AttemptWatch::Finding AttemptWatch::recordMissing(const ServerProbeResult &report, TimePoint now)
{
    if (!RunProgress::mayWaitUnlisted(report))
        return Finding::Silent;
    m_progress.recordContact(now);
    m_progress.recordWaiting(now);
    return Finding::Unlisted;
}

AttemptWatch::Finding AttemptWatch::recordWorking(TimePoint now)
{
    m_state.keptUntil = {};
    m_progress.recordContact(now);
    return Finding::Working;
}

void AttemptWatch::keepSilent(TimePoint now)
{
    m_state.keptUntil = now + replaceRetryInterval;
}

bool AttemptWatch::mayOutlastSilence(bool hasStarted, TimePoint now) const
{
    const Duration silence = now - m_progress.lastContactAt();
    return silence < (hasStarted ? Duration(maxServerPause) : Duration(maxPromptPause));
}

} // namespace foxtailring
