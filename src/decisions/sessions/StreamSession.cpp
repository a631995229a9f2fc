#include "foxtailring/decisions/sessions/StreamSession.h"

#include "foxtailring/decisions/admission/RetryBudget.h"
#include "foxtailring/decisions/quarantine/SuspectedCrashes.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/sessions/EngineLatencyEstimator.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// Few outputs are shorter than this fraction of what their request allows.
constexpr double minOutputFraction = 0.4;
// Sound servers are silent for 1.5 s, and a move is wanted 0.3 s to 0.6 s after the last contact.
constexpr milliseconds reserveTime {1000};
// Two servers may work on one run for 400 ms. A fallback is ended by then, unless the next server
// has rejected the run; engines reject at once. That holds for a preempted run as well: its engine
// goes on with it as soon as it has memory again, and reports that only later.
constexpr milliseconds maxOverlap {250};
// A run that waits at its engine is kept there only until the next engine may have rejected it, so
// that the first one hardly begins with its prompt.
constexpr milliseconds maxQueueOverlap {100};
// A server that sends this many events clears the prompt for all other requests.
constexpr std::uint32_t outlivedEvents = 3;

} // namespace

StreamSession::StreamSession(const HttpRoute &route, const ForwardRequest &request,
                             const ForwardContext &context, EngineCapabilities capabilities)
    : ForwardSession(route, request, context)
    , m_capabilities(capabilities)
    , m_placement(this->context(), service(), triedIds(),
                  request.promptTokens + request.maxOutputTokens)
    , m_watch(this->context(), route, this->request(), service(), admittedPlacer(),
              capabilities.canBeProbed)
    , m_fallbackProgress(route)
    , m_copier(
          this->context(), m_watch.progress(), m_placement, admittedPlacer(),
          {capabilities.canCopyContinuously && route.isResumable, capabilities.canCopyOnDemand})
    , m_entry(this->context(), route, this->request(), service())
    , m_move(this->context(), this->request(), service())
    , m_search(
          this->request(), m_placement, admittedPlacer(), m_copier, capabilities.canBeProbed,
          [this](std::uint64_t promptTokens, TimePoint now) {
              return canFinishInTime(promptTokens, now);
          },
          [this](const ServerProbeResult &report, TimePoint now) { return hasRoom(report, now); })
    , m_wait(route, service(), context.retryBudget, context.random)
    , m_events(request.lastEventId)
{
}

void StreamSession::recordPromptTime(TimePoint now)
{
    const Duration time = now - sentAt();
    context().latency.recordFirstEvent(service(), request().promptTokens, time);
}

void StreamSession::recordSpeed()
{
    const auto interval = m_watch.progress().newTypicalInterval();
    if (interval && hasServer())
        context().servers.speeds().recordRun(server().info, *interval);
}

EventVerdict StreamSession::onEvent(std::int64_t id, TimePoint now)
{
    // A resumed run may repeat events that the caller already has.
    if (m_events.isRepeated(id))
        return EventVerdict::Duplicate;
    const bool isFirst = !m_watch.progress().hasEvents();
    if (m_events.isBeyondGap(id)) {
        m_events.recordGap(id);
        return EventVerdict::Gap;
    }
    if (m_watch.progress().isPrefilling()) {
        recordPromptTime(now);
        m_entry.recordFirstEvent(now - sentAt());
        m_move.recordFirstEvent(now);
    }
    if (hasServer())
        context().servers.recordContact(server().info.id, now);
    recordSignOfLife();
    observeEvent(now);
    m_watch.recordEvent(now);
    recordSpeed();
    m_wait.recordEvent(now);
    if (m_watch.progress().eventCount() == outlivedEvents)
        recordStart(now);
    m_hasStarted = true;
    if (std::exchange(m_isReplacing, false))
        m_search.end();
    m_movableSince = {};
    releaseFallback();
    m_events.record(id, isFirst);
    return EventVerdict::Next;
}

void StreamSession::onPartialEvent(TimePoint now)
{
    recordSignOfLife();
    m_watch.recordPartialEvent(now);
}

bool StreamSession::onFallbackEvent(std::int64_t id, TimePoint now)
{
    recordFallbackSignOfLife();
    if (m_events.isRepeated(id) || isFallbackBeyondGap(id))
        return false;
    returnToFallback(now);
    return true;
}

bool StreamSession::isFallbackBeyondGap(std::int64_t id) const
{
    return m_events.isBeyondGap(id);
}

// An end without an event is only believed as in confirmEnd().
bool StreamSession::onFallbackFinished(TimePoint now)
{
    if (!m_fallbackProgress.hasEvents() && !std::exchange(m_hasEmptyEnd, true))
        return false;
    returnToFallback(now);
    return true;
}

void StreamSession::returnToFallback(TimePoint now)
{
    m_search.end();
    m_isReplacing = false;
    m_movableSince = {};
    m_copier.restart(now);
    m_watch.resume(m_fallbackProgress);
    m_move.returnToPrevious();
    resumeFallback();
}

// Nothing else can take the run, but the attempt that was to be replaced may still go on.
ForwardAction StreamSession::waitForFallback(ForwardAction action, TimePoint now)
{
    if (!hasFallback())
        return action;
    returnToFallback(now);
    m_watch.requireProbe();
    keepSilentAttempt(now);
    return ResumeFallback {};
}

void StreamSession::onServerLost()
{
    if (m_hasStarted)
        m_lostServers.push_back(server().info);
}

// Servers fail with their zones, several times within one long answer. Before the first event, the
// prompt may be the cause.
std::uint32_t StreamSession::usedAttempts(TimePoint now) const
{
    const auto hasEnded = [&](const BackendInfo &lost) {
        const auto current = context().servers.server(lost.id, now);
        return !current || !current->info.isSameStart(lost)
            || current->reportedStart == ReportedStart::Restarted;
    };
    const auto ended = std::count_if(m_lostServers.begin(), m_lostServers.end(), hasEnded);
    return possibleRuns() - static_cast<std::uint32_t>(ended);
}

void StreamSession::onAttemptOver()
{
    if (std::exchange(m_isReplacing, false))
        m_search.end();
    m_move.drop();
    m_watch.endKeeping();
}

bool StreamSession::hasOutlivedStart() const
{
    return m_watch.progress().eventCount() >= outlivedEvents;
}

// A run produces at least one event, unless its caller already had the last one when it was
// resumed. Nothing marks the last event, so an end without an event is only believed when a second
// server confirms it.
bool StreamSession::confirmEnd()
{
    return m_watch.progress().hasEvents() || std::exchange(m_hasEmptyEnd, true);
}

ForwardAction StreamSession::onFinished(TimePoint now)
{
    if (!hasOutlivedStart())
        recordStart(now);
    observeEnd(now);
    if (hasServer()) {
        context().servers.recordAnswer(server().info.id, false, now);
        work().recordAnswer(server().info.id, now);
    }
    if (m_watch.progress().meanEventInterval() > Duration {0})
        context().latency.recordEventInterval(service(), m_watch.progress().meanEventInterval());
    releaseServer();
    m_copier.dropCopy();
    return KeepWaiting {};
}

ForwardAction StreamSession::makeAttempt(std::string_view cause, TimePoint now)
{
    if (auto action = applyQuarantine(now))
        return std::move(*action);
    // An answer that has begun can't be refused when the process ends.
    if (!m_hasStarted && timeLeft(now) < request().minAttemptTime)
        return refuseOrAbort(refuse(503, "noTimeLeft"), now);
    m_cause = cause;
    return continueSearch(m_search.start(m_isReplacing, now), now);
}

ForwardAction StreamSession::continueSearch(ServerSearch::Step step, TimePoint now)
{
    if (auto *probe = std::get_if<ProbeServers>(&step)) {
        m_copier.abandonProbe();
        return std::move(*probe);
    }
    if (auto *next = std::get_if<SendAttempt>(&step))
        return sendRun(std::move(*next), now);
    if (std::get<ServerSearch::Failure>(step) == ServerSearch::Failure::NoTime)
        return refuseOrAbort(refuse(503, "noTimeLeft"), now);
    if (std::get<ServerSearch::Failure>(step) == ServerSearch::Failure::NoRoom)
        return waitForRoom(now);
    m_hasRetry = !m_isReplacing;
    return waitForNextAttempt(Missing::Server, refuseUnplaced(now), now);
}

bool StreamSession::canFinishInTime(std::uint64_t promptTokens, TimePoint now) const
{
    const auto maxEvents =
        static_cast<double>(request().maxOutputTokens) / std::max(request().tokensPerEvent, 1U);
    const auto minEvents =
        static_cast<std::int64_t>(minOutputFraction * maxEvents) - lastEventId().value_or(0);
    return timeLeft(now) >= context().latency.minRunDuration(service(), promptTokens, minEvents);
}

ForwardAction StreamSession::sendRun(SendAttempt next, TimePoint now)
{
    // The part may have been quarantined while servers were probed.
    if (auto action = applyQuarantine(now))
        return std::move(*action);
    if (std::exchange(m_isReplacing, false)) {
        if (!m_move.allows(next.server.info.id) || !mayMoveOnBelief(now) || !tryTakeRetry(now))
            return keepSilentAttempt(now);
        keepAsFallback(next, now);
    } else if (hasFallback()) {
        m_fallbackEndsAt = now + maxOverlap;
    }
    m_search.end();
    m_wait.end();
    m_hasRetry = false;
    m_movableSince = {};
    next.cause = m_cause;
    next.lastEventId = lastEventId();
    m_watch.start(next.fromCopy.has_value(), now);
    m_copier.start(next, now);
    m_move.start(next.server, now);
    m_entry.recordSent(next, m_hasStarted, now);
    return send(std::move(next), now);
}

// The replaced attempt goes on until the next one delivers, since that one may be rejected. With a
// fallback already, the attempt in between has delivered nothing and is ended.
void StreamSession::keepAsFallback(SendAttempt &next, TimePoint now)
{
    if (hasFallback())
        return countPossibleRun();
    next.keepsLatest = true;
    m_fallbackProgress = m_watch.progress();
    m_fallbackEndsAt = now + (m_move.isSearching() ? maxQueueOverlap : maxOverlap);
}

ForwardAction StreamSession::onCopied(const CopyRun &copyRun, std::optional<std::string> handle,
                                      TimePoint now)
{
    // A run that is being replaced goes on elsewhere, and a new run cannot use its snapshot.
    const bool isCurrent =
        !m_isReplacing && hasServer() && server().info.id == copyRun.from.info.id;
    if (isCurrent)
        m_copier.onCopied(copyRun, std::move(handle), now);
    else if (handle)
        onLateCopy(copyRun, std::move(*handle));
    return KeepWaiting {};
}

void StreamSession::onLateCopy(const CopyRun &copyRun, std::string handle)
{
    m_copier.onLateCopy(copyRun, std::move(handle));
}

ForwardAction StreamSession::onLost(AttemptResult result, TimePoint now)
{
    if (!tryTakeRetry(now))
        return waitForNextAttempt(Missing::Retry, refuse(502, attemptResultName(result)), now);
    return makeAttempt(attemptResultName(result), now);
}

// A run that was not executed has no copy.
void StreamSession::onRejected()
{
    m_copier.dropCopy();
}

ForwardAction StreamSession::onOverdue(TimePoint now)
{
    if (hasFallback() && now >= m_fallbackEndsAt)
        releaseFallback();
    if (now < silenceDueAt())
        return now < m_copier.checkAt() ? KeepWaiting {}
                                        : m_copier.check(server(), !m_watch.isProbing(), now);
    const AttemptWatch::Step step = m_watch.check(server(), sentAt(), now);
    if (const auto *finding = std::get_if<AttemptWatch::Finding>(&step))
        return onWatched(*finding, now);
    m_copier.abandonProbe();
    return std::get<ProbeServers>(step);
}

ForwardAction StreamSession::onProbed(std::span<const ServerProbeResult> reports, TimePoint now)
{
    if (m_search.isProbingPrompt())
        evidence().recordReports(reports, ServerEvidence::ReportedLoad::None, now);
    else
        ForwardSession::onProbed(reports, now);
    if (m_search.isActive())
        return continueSearch(m_search.onProbed(reports, now), now);
    if (m_copier.isProbing()) {
        m_copier.onProbed(reports, now);
        return KeepWaiting {};
    }
    // An event arrived meanwhile, or the attempt has ended.
    if (!m_watch.isProbing() || !hasServer())
        return KeepWaiting {};
    const AttemptWatch::Finding finding =
        m_watch.onProbed(server(), reports, lastEventId().value_or(0), now);
    if (finding == AttemptWatch::Finding::Working && startsMove(reports, now)) {
        onWatched(finding, now);
        return replaceAttempt("engineQueue", now);
    }
    return onWatched(finding, now);
}

ForwardAction StreamSession::onWatched(AttemptWatch::Finding finding, TimePoint now)
{
    switch (finding) {
    case AttemptWatch::Finding::Open:
        break;
    case AttemptWatch::Finding::Working:
        m_movableSince = {};
        recordSignOfLife();
        break;
    case AttemptWatch::Finding::Unanswered:
        suspectCrash(now);
        return onSilent(now);
    case AttemptWatch::Finding::Silent:
        return onSilent(now);
    case AttemptWatch::Finding::Restarted:
        return onAttemptEnded(AttemptResult::Silent, now);
    case AttemptWatch::Finding::Unlisted:
        return replaceAttempt("unlisted", now);
    }
    return KeepWaiting {};
}

// A sound server may pause for a second or more, so the attempt goes on until another one takes its
// place or the pause is too long.
ForwardAction StreamSession::onSilent(TimePoint now)
{
    if (!mayOutlastSilence(now))
        return onAttemptEnded(AttemptResult::Silent, now);
    recordServerFailure(lastSignAt(now), now);
    return replaceAttempt(attemptResultName(AttemptResult::Silent), now);
}

ForwardAction StreamSession::replaceAttempt(std::string_view cause, TimePoint now)
{
    if (m_movableSince == TimePoint {})
        m_movableSince = now;
    if (usedAttempts(now) + 1 >= route().maxAttempts)
        return keepSilentAttempt(now);
    if (!mayMoveOnBelief(now)) {
        if (context().onRetryDenied)
            context().onRetryDenied(service());
        return keepSilentAttempt(now);
    }
    m_isReplacing = true;
    return makeAttempt(cause, now);
}

// The next server may reject or lose the run, which needs another retry, and runs whose server is
// proven lost cannot go on without one. So the last retry is left to them for as long as sound
// servers are silent.
bool StreamSession::mayMoveOnBelief(TimePoint now) const
{
    const RetryBudget &budget = context().retryBudget;
    return now - m_movableSince < reserveTime ? budget.hasSpareRetry(service(), now)
                                              : budget.hasRetry(service(), now);
}

// While it is open whether a silent server has crashed, no other server gets the quarantined part,
// and the attempt goes on: its server may be sound.
std::optional<ForwardAction> StreamSession::applyQuarantine(TimePoint now)
{
    const bool isOpen = m_isReplacing && !context().suspectedCrashes.hasCrashed(server().info);
    if (isOpen && !quarantinedSuspect(now).empty()) {
        m_isReplacing = false;
        return keepSilentAttempt(now);
    }
    if (auto refusal = refuseQuarantined(now))
        return refuseOrAbort(std::move(*refusal), now);
    return std::nullopt;
}

// A stream that has begun cannot be answered any more. Any other run is refused at once if it would
// end too late.
bool StreamSession::mayOutlastSilence(TimePoint now) const
{
    return m_watch.mayOutlastSilence(m_hasStarted, now)
        && (m_hasStarted || canFinishInTime(0, now));
}

ForwardAction StreamSession::keepSilentAttempt(TimePoint now)
{
    m_search.end();
    if (!m_move.keep(now))
        m_watch.keepSilent(now);
    return KeepWaiting {};
}

TimePoint StreamSession::overdueAt() const
{
    // The probe in progress decides.
    if (m_search.isActive())
        return deadline();
    const TimePoint fallbackEndsAt = hasFallback() ? m_fallbackEndsAt : TimePoint::max();
    return std::min({silenceDueAt(), m_copier.checkAt(), fallbackEndsAt});
}

TimePoint StreamSession::silenceDueAt() const
{
    return route().allowsRetry() ? m_watch.dueAt(sentAt()) : deadline();
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
    return waitForFallback(conclude(std::move(refusal)), now);
}

} // namespace foxtailring
