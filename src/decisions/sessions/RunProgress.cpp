#include "foxtailring/decisions/sessions/RunProgress.h"

#include "foxtailring/decisions/configuration/HttpRoute.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"

#include <algorithm>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// A server is probed after this many mean event intervals without an event. A prompt that the
// server processes at the same time makes the intervals several times longer.
constexpr int silenceIntervals = 4;
constexpr milliseconds minSilence {150};
constexpr milliseconds maxSilence {220};
// Probe interval before the first event: nothing arrives while the prompt is processed.
constexpr milliseconds prefillProbeInterval {400};
// A report may be this old and not include a run that started since.
constexpr milliseconds maxReportAge {1000};
// A server that answers probes but sends no events for this many allowed pauses is stuck.
constexpr int stuckEventGaps = 3;
// Fraction of the latency objective that is at least allowed for the first event.
constexpr double firstEventFraction = 0.65;
// The latest interval has the weight 1 / intervalAverageDivisor in the moving average.
constexpr int intervalAverageDivisor = 8;
// Bounds the time for the prompts ahead: a server may report any number of them.
constexpr std::chrono::hours maxPromptTime {24};
// A resumed run processes only what its copy lacks, but may wait for the prompts of other runs.
constexpr milliseconds resumeTimeout {1500};

} // namespace

RunProgress::RunProgress(const HttpRoute &route)
    : m_route(&route)
{
}

void RunProgress::start(bool isResumed, TimePoint now)
{
    m_isResumed = isResumed;
    m_eventCount = 0;
    m_partialEventAt = {};
    m_waitingAt = {};
    m_maxPromptsAhead = 0;
    m_typicalInterval = {};
    m_startedAt = now;
    m_lastContactAt = now;
}

void RunProgress::recordEvent(TimePoint now)
{
    if (hasEvents()) {
        const Duration interval = now - m_lastEventAt;
        m_typicalInterval.add(interval);
        const bool isFirst = m_meanEventInterval == Duration {0};
        m_meanEventInterval = isFirst
            ? interval
            : m_meanEventInterval + (interval - m_meanEventInterval) / intervalAverageDivisor;
    } else {
        m_firstEventAt = now;
    }
    ++m_eventCount;
    m_lastEventAt = now;
    m_partialEventAt = {};
    m_lastContactAt = now;
}

std::optional<Duration> RunProgress::newTypicalInterval() const
{
    if (m_eventCount != TypicalInterval::count + 1)
        return std::nullopt;
    return m_typicalInterval.median();
}

// The prompt of the run itself is among them.
void RunProgress::recordPrompts(std::uint32_t prompts)
{
    m_maxPromptsAhead = std::max(m_maxPromptsAhead, std::max(prompts, 1U) - 1);
}

Duration RunProgress::silenceThreshold() const
{
    if (!hasEvents())
        return prefillProbeInterval;
    const Duration threshold = silenceIntervals * m_meanEventInterval;
    return std::clamp<Duration>(threshold, minSilence, maxSilence);
}

TimePoint RunProgress::stuckAt(TimePoint sentAt, Duration maxFirstEventDelay) const
{
    if (hasEvents())
        return std::max(m_lastEventAt, m_waitingAt) + stuckEventGaps * m_route->usedEventGap();
    if (m_isResumed)
        return sentAt + resumeTimeout;
    const auto minimum =
        std::chrono::duration_cast<Duration>(m_route->latencyObjective * firstEventFraction);
    // Prompts are processed one after the other; the estimate allows for one ahead of this one.
    // Computed in seconds, since 64 bits of nanoseconds hold 292 years.
    using Seconds = std::chrono::duration<double>;
    const Seconds ahead = m_maxPromptsAhead * Seconds(maxFirstEventDelay) / 2;
    return sentAt + std::max(maxFirstEventDelay, minimum)
        + std::chrono::duration_cast<Duration>(std::min<Seconds>(ahead, maxPromptTime));
}

bool RunProgress::isLostBy(const ServerProbeResult &report, std::int64_t lastEventId,
                           TimePoint probedAt, TimePoint now) const
{
    if (!report.hasRun)
        return isMissingFrom(report, probedAt);
    if (!hasEvents())
        return false;
    // An event whose bytes are arriving slowly is produced, but not missing.
    const bool isArriving = now - m_partialEventAt < silenceThreshold();
    return report.eventCount > lastEventId + (isArriving ? 1 : 0);
}

// Runs that wait or whose prompt is processed are not listed. Among them are preempted runs, whose
// memory is processed again.
bool RunProgress::mayWaitUnlisted(const ServerProbeResult &report)
{
    return !report.hasRun && (report.load.waiting > 0 || report.load.prefilling > 0);
}

// Before the first event, a run that may wait is not missing. After it, such a run was preempted,
// and another server may continue it sooner.
bool RunProgress::isMissingFrom(const ServerProbeResult &report, TimePoint probedAt) const
{
    if (!report.listsRuns || (!hasEvents() && mayWaitUnlisted(report)))
        return false;
    const TimePoint knownSince = hasEvents() ? m_firstEventAt : m_startedAt;
    return probedAt - knownSince > maxReportAge;
}

} // namespace foxtailring
