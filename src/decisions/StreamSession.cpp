#include "foxtailring/decisions/StreamSession.h"

#include "foxtailring/decisions/BackendPlacer.h"
#include "foxtailring/decisions/BackendTable.h"
#include "foxtailring/decisions/EngineLatencyEstimator.h"
#include "foxtailring/decisions/PromptQuarantine.h"
#include "foxtailring/decisions/RetryBudget.h"
#include "foxtailring/decisions/ServerAdmission.h"

#include <algorithm>
#include <iterator>
#include <utility>

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
// Two round trips between regions: one to connect, one for the answer.
constexpr milliseconds probeTimeout {120};
// A report may be this old and not include a run that started since.
constexpr milliseconds maxReportAge {1000};
// A server that answers probes but sends no events for this many allowed pauses is stuck.
constexpr int stuckEventGaps = 3;
// Fraction of the latency objective that is at least allowed for the first event.
constexpr double firstEventFraction = 0.65;
// Number of servers that are probed for their load before a run is placed.
constexpr std::size_t maxCandidates = 4;
constexpr milliseconds placementProbeTimeout {60};
// For routes that configure none.
constexpr milliseconds defaultMaxEventGap {1000};
// The latest interval has the weight 1 / intervalAverageDivisor in the moving average.
constexpr int intervalAverageDivisor = 8;
// A resumed run processes only what its copy lacks, but may wait for the prompts of other runs.
constexpr milliseconds resumeTimeout {1500};
// Interval of checking the copy and its holder, and delay before a failed snapshot is retried.
constexpr milliseconds copyCheckInterval {400};
constexpr milliseconds copyRetryDelay {1000};
// Few outputs are shorter than this fraction of what their request allows.
constexpr double minOutputFraction = 0.4;
// Time to copy the memory of a long prompt to another zone, after a few other copies.
constexpr milliseconds copyTimeout {1500};
// A server without a sign of life for longer has failed.
constexpr std::chrono::seconds maxServerPause {5};
// The same for a run without an event. Its caller can still be refused and try again, so it is held
// for no more than twice the pauses that sound servers make.
constexpr milliseconds maxPromptPause {2000};
// Interval of looking for another server while a run's server is silent.
constexpr milliseconds replaceRetryInterval {500};
// A doubtful server is abandoned after this time without contact.
constexpr milliseconds maxDoubtfulSilence {350};

// A server that sends this many events has outlived the beginning of its answer.
constexpr std::uint32_t outlivedEvents = 3;

milliseconds maxEventGapOf(const HttpRoute &route)
{
    return route.maxEventGap.count() > 0 ? route.maxEventGap : defaultMaxEventGap;
}

} // namespace

StreamSession::StreamSession(const HttpRoute &route, const ForwardRequest &request,
                             const ForwardContext &context, EngineCapabilities capabilities)
    : ForwardSession(route, request, context)
    , m_capabilities(capabilities)
    , m_copy(context.servers, context.releaseCopy)
    , m_lastEventId(request.lastEventId)
{
}

EventVerdict StreamSession::onEvent(std::int64_t id, TimePoint now)
{
    // A resumed run may repeat events that the caller already has.
    if (m_lastEventId && id <= *m_lastEventId)
        return EventVerdict::Duplicate;
    if (m_lastEventId && id > *m_lastEventId + 1)
        return EventVerdict::Gap;
    if (!m_hasEvents && !m_isResumed)
        context().latency.recordFirstEvent(service(), request().promptTokens, now - sentAt());
    if (m_hasEvents) {
        const Duration interval = now - m_lastEventAt;
        const bool isFirst = m_meanEventInterval == Duration {0};
        m_meanEventInterval = isFirst
            ? interval
            : m_meanEventInterval + (interval - m_meanEventInterval) / intervalAverageDivisor;
    }
    if (hasServer())
        context().servers.recordContact(server().info.id, now);
    if (!std::exchange(m_hasEvents, true))
        m_firstEventAt = now;
    if (++m_attemptEvents == outlivedEvents)
        context().quarantine.recordStart(request().sharedPromptParts, now);
    m_isHarmless = m_isHarmless || hasOutlivedStart();
    m_hasStarted = true;
    m_isProbing = false;
    if (std::exchange(m_isReplacing, false))
        endPlacement();
    recordSign(now);
    m_lastEventId = id;
    m_lastEventAt = now;
    m_partialEventAt = {};
    return EventVerdict::Next;
}

void StreamSession::onAttemptOver()
{
    if (std::exchange(m_isReplacing, false))
        endPlacement();
    m_replaceAt = {};
}

bool StreamSession::hasOutlivedStart() const
{
    return m_attemptEvents >= outlivedEvents;
}

// A run produces at least one event, unless its caller already had the last one when it was
// resumed. Nothing marks the last event, so an end without an event is only believed when a second
// server confirms it.
bool StreamSession::confirmEnd()
{
    return m_hasEvents || std::exchange(m_hasEmptyEnd, true);
}

ForwardAction StreamSession::onFinished(TimePoint now)
{
    if (!hasOutlivedStart())
        context().quarantine.recordStart(request().sharedPromptParts, now);
    if (hasServer())
        context().servers.recordAnswer(server().info.id, false, now);
    if (m_meanEventInterval > Duration {0})
        context().latency.recordEventInterval(service(), m_meanEventInterval);
    releaseServer();
    m_copy.drop();
    return KeepWaiting {};
}

ForwardAction StreamSession::makeAttempt(std::string_view cause, TimePoint now)
{
    if (auto refusal = refuseQuarantined(now))
        return refuseOrAbort(std::move(*refusal), now);
    m_cause = cause;
    // A copy exists only from the first event on, not while the prompt is processed.
    auto next = m_hasEvents ? m_copy.takeResumeAttempt(now) : std::nullopt;
    // A run that is being replaced may go on and need its copy.
    if (!m_isReplacing)
        m_copy.drop();
    if (next && tryAcquire(next->server.info.id, now))
        return sendRun(std::move(*next), now);
    if (!request().promptId.empty())
        m_affinityServers =
            context().placer.promptAffinityServers(service(), request().promptId, now);
    const bool isReturning = triedIds().empty() && request().lastEventId;
    return isReturning && m_capabilities.canBeProbed && !m_affinityServers.empty()
        ? probeForPrompt(now)
        : probeCandidates(now);
}

// The process that served the caller before has failed, and its state is lost. The engine has
// stopped the run, but keeps the prompt in memory until it needs the space.
ForwardAction StreamSession::probeForPrompt(TimePoint now)
{
    ProbeServers probe;
    probe.subject = ProbeServers::Subject::Prompt;
    probe.timeout = placementProbeTimeout;
    for (const std::string &id : m_affinityServers) {
        const auto server = context().servers.server(id, now);
        if (server && server->health == BackendHealth::Healthy && mayProbe(*server, now))
            probe.servers.push_back(*server);
    }
    if (probe.servers.empty())
        return probeCandidates(now);
    m_isFindingPrompt = true;
    m_probedAt = now;
    return probe;
}

ForwardAction StreamSession::onPromptProbed(std::span<const ServerProbeResult> reports,
                                            TimePoint now)
{
    m_isFindingPrompt = false;
    for (const ServerProbeResult &report : reports) {
        if (context().servers.detectRestart(report.serverId, report.startedAtMs))
            continue;
        context().servers.recordContact(report.serverId, now);
        recordProbeNotice(report, now);
    }
    const auto holder =
        std::find_if(reports.begin(), reports.end(),
                     [](const ServerProbeResult &report) { return report.hasPrompt; });
    const auto server =
        holder == reports.end() ? std::nullopt : context().servers.server(holder->serverId, now);
    if (!server || !server->acceptsNewWork())
        return probeCandidates(now);
    if (!canFinishInTime(0, now))
        return refuseOrAbort(refuse(503, "noTimeLeft"), now);
    if (!tryAcquire(server->info.id, now))
        return probeCandidates(now);
    SendAttempt next;
    next.server = *server;
    return sendRun(std::move(next), now);
}

// Processing the prompt of a run that cannot finish in time would only delay other runs.
bool StreamSession::canFinishInTime(std::uint64_t promptTokens, TimePoint now) const
{
    const auto maxEvents =
        static_cast<double>(request().maxOutputTokens) / std::max(request().tokensPerEvent, 1U);
    const auto minEvents =
        static_cast<std::int64_t>(minOutputFraction * maxEvents) - m_lastEventId.value_or(0);
    return timeLeft(now) >= context().latency.minRunDuration(service(), promptTokens, minEvents);
}

// Other processes place runs on the same servers, so the servers are probed for their current load.
ForwardAction StreamSession::probeCandidates(TimePoint now)
{
    if (!canFinishInTime(request().promptTokens, now))
        return refuseOrAbort(refuse(503, "noTimeLeft"), now);
    if (!m_capabilities.canBeProbed)
        return placeRun({}, now);
    ProbeServers probe;
    std::vector<std::string> exclude = triedIds();
    for (const auto &avoided :
         {context().admission.pausedIds(now), context().admission.returningIds(now)})
        exclude.insert(exclude.end(), avoided.begin(), avoided.end());
    probe.servers =
        context().placer.runCandidates(placement(exclude), maxCandidates, now, context().random);
    std::erase_if(probe.servers,
                  [this, now](const BackendState &server) { return !mayProbe(server, now); });
    if (probe.servers.empty())
        return placeRun({}, now);
    probe.timeout = placementProbeTimeout;
    m_isPlacing = true;
    m_isProbingHolder = false;
    m_probedAt = now;
    m_responsive.clear();
    for (const BackendState &server : probe.servers)
        m_candidates.push_back(server.info.id);
    return probe;
}

bool StreamSession::mayProbe(const BackendState &server, TimePoint now) const
{
    return !context().admission.isRestricted(server.info.id, now)
        && context().admission.tryAcquire(server.info.id, now);
}

ForwardAction StreamSession::placeRun(std::span<const ServerProbeResult> reports, TimePoint now)
{
    m_isPlacing = false;
    m_responsive.clear();
    for (const ServerProbeResult &report : reports) {
        if (!report.isTurnedAway)
            m_responsive.push_back(report.serverId);
    }
    // A server that did not answer the probe is chosen only if there is no other.
    std::vector<std::string> exclude = triedIds();
    std::copy_if(m_candidates.begin(), m_candidates.end(), std::back_inserter(exclude),
                 [this](const std::string &id) {
                     return std::find(m_responsive.begin(), m_responsive.end(), id)
                         == m_responsive.end();
                 });
    m_candidates.clear();
    auto chosen = choose(placement(exclude), &BackendPlacer::chooseForRun, now);
    if (!chosen)
        chosen = choose(placement(triedIds()), &BackendPlacer::chooseForRun, now);
    if (!chosen)
        return refuseOrAbort(refuseUnplaced(now), now);
    SendAttempt next;
    next.server = std::move(*chosen);
    return sendRun(std::move(next), now);
}

ForwardAction StreamSession::sendRun(SendAttempt next, TimePoint now)
{
    if (std::exchange(m_isReplacing, false)) {
        if (!tryTakeRetry(now))
            return keepSilentAttempt(now);
        countPossibleRun();
    }
    endPlacement();
    m_replaceAt = {};
    next.cause = m_cause;
    next.lastEventId = m_lastEventId;
    m_isResumed = next.fromCopy.has_value();
    m_hasEvents = false;
    m_partialEventAt = {};
    m_attemptEvents = 0;
    m_isProbing = false;
    m_isProbingHolder = false;
    m_isCopying = false;
    m_copyCheckAt = m_capabilities.canCopyOnDemand ? now + copyCheckInterval : TimePoint::max();
    m_maxPromptsAhead = 0;
    m_lastContactAt = now;
    m_copy.drop();
    assignCopyHolder(next, now);
    return send(std::move(next), now);
}

PlacementRequest StreamSession::placement(std::span<const std::string> exclude) const
{
    PlacementRequest placementRequest;
    placementRequest.service = service();
    placementRequest.exclude = exclude;
    placementRequest.responsive = m_responsive;
    placementRequest.affinityServers = m_affinityServers;
    return placementRequest;
}

void StreamSession::assignCopyHolder(SendAttempt &attempt, TimePoint now)
{
    attempt.copyTo = chooseCopyHolder(attempt.server, now);
    if (attempt.copyTo)
        m_copy.setHolder(*attempt.copyTo);
}

std::optional<BackendState> StreamSession::chooseCopyHolder(const BackendState &runServer,
                                                            TimePoint now) const
{
    if (!m_capabilities.canCopyContinuously || !route().isResumable)
        return std::nullopt;
    std::vector<std::string> exclude = triedIds();
    exclude.push_back(runServer.info.id);
    PlacementRequest copyRequest = placement(exclude);
    copyRequest.avoidZone = runServer.info.availabilityZone;
    copyRequest.affinityServers = {};
    // The run could not resume at a server that has no free request or is in a pause.
    while (true) {
        copyRequest.exclude = exclude;
        auto holder = context().placer.chooseForCopy(copyRequest, now, context().random);
        if (!holder || !context().admission.isRestricted(holder->info.id, now))
            return holder;
        exclude.push_back(holder->info.id);
    }
}

// Replaces a lost copy, renews a snapshot before it expires, and probes a holder at risk. A run may
// see several failures, and the next one may be that of its own server.
ForwardAction StreamSession::maintainCopy(TimePoint now)
{
    m_copyCheckAt = now + copyCheckInterval;
    const bool isUsable = m_copy.isUsable(now);
    if (isUsable && !m_isProbing && !m_isCopying) {
        const auto current = context().servers.server(m_copy.holder()->info.id, now);
        if (current->hasFailedZonePeer && mayProbe(*current, now))
            return probeCopyHolder(*current);
    }
    const bool isWanted = m_hasEvents && !m_isCopying && (!isUsable || m_copy.needsRenewal(now));
    if (!isWanted)
        return KeepWaiting {};
    const auto holder = isUsable ? m_copy.holder() : chooseCopyHolder(server(), now);
    if (!isUsable)
        m_copy.drop();
    if (!holder)
        return KeepWaiting {};
    if (!tryAcquire(server().info.id, now)) {
        m_copyCheckAt = now + copyRetryDelay;
        return KeepWaiting {};
    }
    m_isCopying = true;
    return CopyRun {server(), *holder, copyTimeout};
}

// Servers of a zone fail together, and the holder sends nothing unless it is probed.
ForwardAction StreamSession::probeCopyHolder(const BackendState &holder)
{
    ProbeServers probe;
    probe.servers = {holder};
    probe.timeout = probeTimeout;
    probe.useNewConnections = true;
    m_isProbingHolder = true;
    return probe;
}

void StreamSession::onCopyHolderProbed(std::span<const ServerProbeResult> reports, TimePoint now)
{
    m_isProbingHolder = false;
    const auto &holder = m_copy.holder();
    if (holder && reports.empty())
        context().servers.recordFailure(holder->info.id, now);
    if (!m_copy.isUsable(now))
        m_copyCheckAt = now;
}

ForwardAction StreamSession::onCopied(const CopyRun &copyRun, std::optional<std::string> handle,
                                      TimePoint now)
{
    // A run that is being replaced goes on elsewhere, and a new run cannot use its snapshot.
    const bool isCurrent =
        m_isCopying && !m_isReplacing && hasServer() && server().info.id == copyRun.from.info.id;
    if (!isCurrent) {
        if (handle)
            onLateCopy(copyRun, std::move(*handle));
        return KeepWaiting {};
    }
    m_isCopying = false;
    if (handle)
        m_copy.setSnapshot(
            copyRun.to, {copyRun.from.info.address, std::move(*handle), copyRun.from.info.id}, now);
    else
        m_copyCheckAt = now + copyRetryDelay;
    return KeepWaiting {};
}

void StreamSession::onLateCopy(const CopyRun &copyRun, std::string handle)
{
    m_copy.addLate({copyRun.from.info.address, std::move(handle), copyRun.from.info.id});
}

ForwardAction StreamSession::onLost(AttemptResult result, TimePoint now)
{
    if (!tryTakeRetry(now))
        return refuseOrAbort(refuse(502, attemptResultName(result)), now);
    return makeAttempt(attemptResultName(result), now);
}

// A run that was not executed has no copy.
void StreamSession::onRejected()
{
    m_copy.drop();
}

ForwardAction StreamSession::onOverdue(TimePoint now)
{
    if (now < silenceDueAt())
        return maintainCopy(now);
    if (now >= stuckAt() || isPresumedLost(now))
        return onSilent(now);
    // The probe in progress decides.
    if (m_isProbing)
        return KeepWaiting {};
    // Without a probe, only the time limit for the next event remains.
    const bool mayAsk = m_capabilities.canBeProbed && tryAcquire(server().info.id, now);
    if (!mayAsk && isKeptSilent())
        return onSilent(now);
    if (!mayAsk) {
        m_lastContactAt = now;
        return KeepWaiting {};
    }
    ProbeServers probe;
    probe.servers = {server()};
    probe.timeout = probeTimeout;
    probe.useNewConnections = true;
    m_isProbing = true;
    m_isProbingHolder = false;
    m_probedAt = now;
    return probe;
}

ForwardAction StreamSession::onProbed(std::span<const ServerProbeResult> reports, TimePoint now)
{
    if (m_isFindingPrompt)
        return onPromptProbed(reports, now);
    ForwardSession::onProbed(reports, now);
    if (m_isPlacing)
        return placeRun(reports, now);
    if (m_isProbingHolder) {
        onCopyHolderProbed(reports, now);
        return KeepWaiting {};
    }
    // An event arrived meanwhile, or the attempt has ended.
    if (!m_isProbing || !hasServer())
        return KeepWaiting {};
    m_isProbing = false;
    if (m_lastContactAt > m_probedAt)
        return KeepWaiting {};
    if (reports.empty()) {
        recordCrash(now);
        return onSilent(now);
    }
    if (reports.front().isTurnedAway) {
        recordSign(now);
        return KeepWaiting {};
    }
    if (showsLostRun(reports.front(), now))
        return onAttemptEnded(AttemptResult::Silent, now);
    const BackendLoadReport &load = reports.front().load;
    const std::uint32_t prompts = load.prefilling + load.waiting;
    m_maxPromptsAhead = std::max(m_maxPromptsAhead, std::max(prompts, 1U) - 1);
    recordSign(now);
    return KeepWaiting {};
}

// The current server showed that it works.
void StreamSession::recordSign(TimePoint now)
{
    m_replaceAt = {};
    m_lastContactAt = now;
}

// A sound server may pause for a second or more, so the attempt goes on until another one takes its
// place or the pause is too long.
ForwardAction StreamSession::onSilent(TimePoint now)
{
    m_isProbing = false;
    if (!mayOutlastSilence(now))
        return onAttemptEnded(AttemptResult::Silent, now);
    recordServerFailure(now);
    const bool isLastAttempt = possibleRuns() + 1 >= route().maxAttempts;
    if (isLastAttempt || !context().retryBudget.hasRetry(service(), now))
        return keepSilentAttempt(now);
    m_isReplacing = true;
    return makeAttempt(attemptResultName(AttemptResult::Silent), now);
}

// A stream that has begun cannot be answered any more. Any other run is refused at once if waiting
// cannot help: it has probably crashed its server, or would end too late.
bool StreamSession::mayOutlastSilence(TimePoint now) const
{
    const Duration silence = now - m_lastContactAt;
    if (m_hasStarted)
        return silence < maxServerPause;
    return silence < maxPromptPause && quarantinedPart(now).empty() && canFinishInTime(0, now);
}

void StreamSession::endPlacement()
{
    m_isPlacing = false;
    m_candidates.clear();
}

ForwardAction StreamSession::keepSilentAttempt(TimePoint now)
{
    endPlacement();
    m_replaceAt = now + replaceRetryInterval;
    return KeepWaiting {};
}

// True if the server was replaced or restarted, produced events that did not arrive, or no longer
// has the run.
bool StreamSession::showsLostRun(const ServerProbeResult &report, TimePoint now) const
{
    const auto current = context().servers.server(server().info.id, m_probedAt);
    if (current && current->isReplaced)
        return true;
    if (!m_hasEvents)
        return false;
    if (report.hasRun) {
        // An event whose bytes are arriving slowly is produced, but not missing.
        const bool isArriving = now - m_partialEventAt < silenceThreshold();
        return report.eventCount > m_lastEventId.value_or(0) + (isArriving ? 1 : 0);
    }
    return m_probedAt - m_firstEventAt > maxReportAge;
}

// True if the server is doubtful or suspected, sent no event yet, and there was no contact for too
// long. An attempt that is kept all the same is judged by its probes.
bool StreamSession::isPresumedLost(TimePoint now) const
{
    const auto current = context().servers.server(server().info.id, now);
    const bool isDoubtful = current && current->health != BackendHealth::Healthy;
    return isDoubtful && !m_hasEvents && !isKeptSilent()
        && now - m_lastContactAt >= maxDoubtfulSilence;
}

TimePoint StreamSession::overdueAt() const
{
    // The probe in progress decides.
    if (m_isPlacing || m_isFindingPrompt)
        return deadline();
    return std::min(silenceDueAt(), m_copyCheckAt);
}

TimePoint StreamSession::silenceDueAt() const
{
    if (!route().allowsRetry())
        return deadline();
    const TimePoint silentAt =
        m_isProbing ? m_probedAt + 2 * probeTimeout : m_lastContactAt + silenceThreshold();
    return std::max(std::min(stuckAt(), silentAt), m_replaceAt);
}

Duration StreamSession::silenceThreshold() const
{
    if (!m_hasEvents)
        return prefillProbeInterval;
    const Duration threshold = silenceIntervals * m_meanEventInterval;
    return std::clamp<Duration>(threshold, minSilence, maxSilence);
}

TimePoint StreamSession::stuckAt() const
{
    if (m_hasEvents)
        return m_lastEventAt + stuckEventGaps * maxEventGapOf(route());
    if (m_isResumed)
        return sentAt() + resumeTimeout;
    const Duration estimate =
        context().latency.maxFirstEventDelay(service(), request().promptTokens);
    const auto minimum =
        std::chrono::duration_cast<Duration>(route().latencyObjective * firstEventFraction);
    // Prompts are processed one after the other; the estimate allows for one ahead of this one.
    return sentAt() + std::max(estimate, minimum) + m_maxPromptsAhead * estimate / 2;
}

// A stream that has begun cannot be answered any more.
ForwardAction StreamSession::conclude(ForwardAction action) const
{
    if (!m_hasStarted)
        return ForwardSession::conclude(std::move(action));
    if (std::holds_alternative<AbortAnswer>(action))
        return action;
    const auto *refusal = std::get_if<Refuse>(&action);
    return AbortAnswer {refusal ? refusal->cause : "serverError"};
}

// If the caller already has a part of the answer, only aborting shows that the rest is missing.
ForwardAction StreamSession::refuseOrAbort(ForwardAction refusal, TimePoint now)
{
    if (std::exchange(m_isReplacing, false))
        return keepSilentAttempt(now);
    return conclude(std::move(refusal));
}

} // namespace foxtailring
