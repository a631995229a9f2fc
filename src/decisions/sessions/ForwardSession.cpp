#include "foxtailring/decisions/sessions/ForwardSession.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/admission/RetryBudget.h"
#include "foxtailring/decisions/quarantine/RequestQuarantine.h"
#include "foxtailring/decisions/quarantine/SuspectedCrashes.h"
#include "foxtailring/decisions/rollouts/RequestVersions.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/sessions/CallerStatus.h"
#include "foxtailring/decisions/sessions/SecondAttempts.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// A request rejected by this many servers is refused: the service is overloaded or failing.
constexpr std::uint32_t maxRejections = 3;
// Attempts that reached no server or a different one do not indicate overload, so more of them are
// allowed.
constexpr std::uint32_t maxAddressFailures = 8;
// By then a slot is usually free again. The random spread keeps callers that were refused together
// from retrying together.
constexpr milliseconds shortestRetryAfter {250};
constexpr milliseconds retryAfterSpread {500};
// With less time left, no server can answer before the deadline.
constexpr milliseconds minTimeLeft {20};

TimePoint deadlineOf(const HttpRoute &route, const ForwardRequest &request)
{
    const Duration limit = route.timeout;
    return request.arrivedAt + std::min(limit, request.callerTimeout.value_or(limit));
}

} // namespace

ForwardSession::ForwardSession(const HttpRoute &route, const ForwardRequest &request,
                               const ForwardContext &context)
    : m_route(route)
    , m_request(request)
    , m_context(context)
    , m_evidence(m_context)
    , m_suspicion(m_request, m_context)
    , m_deadline(deadlineOf(route, request))
    , m_work(m_context, m_request.bodyBytes)
    , m_admittedPlacer(m_context, m_service, m_request.bodyBytes)
{
}

ForwardSession::~ForwardSession()
{
    releaseServer();
    releaseFallback();
}

ForwardAction ForwardSession::start(TimePoint now)
{
    chooseService();
    if (timeLeft(now) < minTimeLeft)
        return refuse(503, "noTimeLeft");
    if (m_context.versions)
        m_context.versions->begin(m_service, m_route.name, now);
    m_suspicion.admit(now);
    if (auto refusal = refuseQuarantined(now))
        return std::move(*refusal);
    m_context.retryBudget.deposit(m_service, now);
    if (m_context.secondAttempts)
        m_context.secondAttempts->recordRequest(m_service, now);
    return makeAttempt("first", now);
}

// Chooses a service at random in proportion to the weights of the targets.
void ForwardSession::chooseService()
{
    std::uint64_t total = 0;
    for (const RouteTarget &target : m_route.targets)
        total += target.weight;
    std::uint64_t pick = total == 0 ? 0 : m_context.random.bounded(total);
    for (const RouteTarget &target : m_route.targets) {
        if (pick < target.weight) {
            m_service = target.service;
            return;
        }
        pick -= target.weight;
    }
}

void ForwardSession::onHead(const BackendAnswer &answer, TimePoint now)
{
    if (!m_server)
        return;
    if (!answer.isOtherServer)
        recordSignOfLife();
    m_evidence.recordHead(m_server->info, m_sentAt, answer, now);
    recordAnswerTime(*m_server, answer, now - m_sentAt, now);
}

void ForwardSession::onFallbackHead(const BackendAnswer &answer, TimePoint now)
{
    if (!m_fallback)
        return;
    if (!answer.isOtherServer)
        recordFallbackSignOfLife();
    m_evidence.recordHead(m_fallback->server.info, m_fallback->sentAt, answer, now);
    recordAnswerTime(m_fallback->server, answer, now - m_fallback->sentAt, now);
}

ForwardAction ForwardSession::onAnswer(const BackendAnswer &answer, TimePoint now)
{
    if (!m_server)
        return KeepWaiting {};
    if (answer.isOtherServer && answer.isNotRun)
        return onWrongServer(answer, now);
    if (answer.isNotRun)
        return onAttemptEnded(AttemptResult::NotRun, now);
    // A success without a signature does not come from a server that executed the request.
    if (answer.isSuccess() && !answer.isSigned)
        return onAttemptEnded(AttemptResult::Invalid, now);
    onAttemptOver();
    const bool isFailure = answer.status >= 500 || answer.isOtherServer;
    m_suspicion.recordWholeAnswer(answer, now);
    // A server that asks for a pause has not failed.
    m_context.servers.recordAnswer(m_server->info.id, isFailure && !answer.pause, now);
    m_work.recordAnswer(m_server->info.id, now);
    m_observation.recordAnswer(answer, now);
    releaseServer();
    countPossibleRun();
    const bool isFinal = answer.status < 500 && mayPass(answer.status);
    if (isFinal && hasPassedEvents())
        return waitForFallback(conclude(PassAnswer {}), now);
    if (isFinal) {
        cancelAttempts(now);
        return conclude(PassAnswer {});
    }
    m_heldStatus = answer.status;
    if (!tryTakeRetry(now))
        return waitForNextAttempt(Missing::Retry, passHeldAnswer(), now);
    return makeAttempt("serverError", now);
}

ForwardAction ForwardSession::passHeldAnswer() const
{
    if (!mayPass(*m_heldStatus))
        return refuse(502, "serverUnavailable");
    return PassAnswer {};
}

AnswerOrigin ForwardSession::origin() const
{
    AnswerOrigin known;
    known.wasSent = hasPossibleRun();
    known.isIdempotent = m_route.kind != CallKind::NonIdempotent;
    known.hasBegun = hasPassedEvents();
    return known;
}

bool ForwardSession::mayPass(int status) const
{
    AnswerOrigin whole = origin();
    whole.wasSent = true;
    whole.hasBegun = false;
    return callerStatus(status, whole) == status;
}

// A server's own error tells the caller more than a refusal.
ForwardAction ForwardSession::conclude(ForwardAction action) const
{
    if (m_heldStatus && std::holds_alternative<Refuse>(action))
        return passHeldAnswer();
    return action;
}

ForwardAction ForwardSession::onWrongServer(const BackendAnswer &answer, TimePoint now)
{
    onAttemptOver();
    const std::string id = m_server->info.id;
    const bool isUsable = acceptsSuccessor() && answer.leaving != LeavingNotice::Leaving;
    const std::string_view successorId = isUsable ? answer.serverId : std::string_view();
    releaseServer();
    m_context.servers.recordReplacement(id, successorId, now);
    return retryRejected(AttemptResult::OtherServer, now);
}

// If the failure was recorded before, as that of a server in a zone that fails, the request is not
// suspected.
void ForwardSession::suspectCrash(TimePoint now)
{
    if (!mayCrashServers())
        return;
    m_suspicion.addUncertainServer(m_server->info);
    m_isCrashSuspected = m_isCrashSuspected || !m_isFailureRecorded;
    if (m_isCrashSuspected)
        m_suspicion.recordSilence(m_server->info, lastSignAt(now), now, m_sentAt);
}

void ForwardSession::recordSignOfLife()
{
    if (!m_server)
        return;
    m_isCrashSuspected = false;
    if (std::exchange(m_isFailureRecorded, false))
        m_context.quarantine.withdrawFailure(SuspectedCrashes::incarnationOf(m_server->info));
    m_context.suspectedCrashes.recordBytes(m_server->info);
}

void ForwardSession::recordFallbackSignOfLife()
{
    if (m_fallback)
        m_context.suspectedCrashes.recordBytes(m_fallback->server.info);
}

void ForwardSession::recordServerFailure(TimePoint at, TimePoint now)
{
    m_context.servers.recordFailure(m_server->info.id, now);
    reportFailure(at, now);
}

// The quarantine compares the times of failures, so an attempt that is kept after its server failed
// must not report the same failure again later.
void ForwardSession::reportFailure(TimePoint at, TimePoint now)
{
    if (!std::exchange(m_isFailureRecorded, true))
        m_context.quarantine.recordFailure(SuspectedCrashes::incarnationOf(m_server->info),
                                           m_service, at, now);
}

std::string_view ForwardSession::quarantinedSuspect(TimePoint now) const
{
    if (!mayCrashServers())
        return {};
    return m_suspicion.quarantinedSuspect(now);
}

void ForwardSession::recordStart(TimePoint now)
{
    m_suspicion.recordStart(now);
}

// A quarantine may accuse the wrong part, or be taken over from another process that knows less. So
// it ends work under way only if that has crashed servers of its own.
bool ForwardSession::isSubjectToQuarantine() const
{
    return !hasPossibleRun() || m_suspicion.hasCrashedServer();
}

// A return of the caller cannot help, so it is told no time.
std::optional<ForwardAction> ForwardSession::refuseQuarantined(TimePoint now) const
{
    const std::string_view suspect = quarantinedSuspect(now);
    if (m_suspicion.isTrial() || suspect.empty() || !isSubjectToQuarantine())
        return std::nullopt;
    if (m_context.onQuarantined)
        m_context.onQuarantined(suspect);
    ForwardAction refusal = refuse(503, "requestQuarantined");
    std::get<Refuse>(refusal).retryAfter = milliseconds(0);
    return conclude(std::move(refusal));
}

ForwardAction ForwardSession::onAttemptEnded(AttemptResult result, TimePoint now)
{
    if (!m_server)
        return KeepWaiting {};
    onAttemptOver();
    if (result == AttemptResult::Lost) {
        if (mayCrashServers()) {
            m_suspicion.addUncertainServer(m_server->info);
            m_suspicion.recordReset(m_server->info, m_isFailureRecorded, now);
        }
        onServerLost();
    }
    m_evidence.recordEnd(m_server->info.id, result, now);
    m_work.recordFailure(m_server->info.id, result, now);
    m_observation.recordLoss(mayHaveRun(result), now);
    if (result == AttemptResult::Lost || result == AttemptResult::Silent)
        reportFailure(result == AttemptResult::Silent ? lastSignAt(now) : now, now);
    releaseServer();
    if (!mayHaveRun(result))
        return retryRejected(result, now);
    countPossibleRun();
    return onLost(result, now);
}

// The request was not executed, so even a non-idempotent one may be sent to another server.
ForwardAction ForwardSession::retryRejected(AttemptResult result, TimePoint now)
{
    onRejected();
    ++(result == AttemptResult::NotRun ? m_rejections : m_addressFailures);
    const Duration minTime = std::max<Duration>(
        minTimeLeft, hasPassedEvents() ? Duration {0} : m_request.minAttemptTime);
    const bool isExhausted = m_rejections >= maxRejections
        || m_addressFailures >= maxAddressFailures || m_deadline - now < minTime;
    // An attempt that was not sent puts no load on a server, so it does not use the retry budget.
    const bool takesBudget = result != AttemptResult::NotSent;
    if (isExhausted || (takesBudget && !tryConsumeBudget(now)))
        return waitForNextAttempt(isExhausted ? Missing::Server : Missing::Retry,
                                  refuse(503, attemptResultName(result), waitForServer(now)), now);
    return makeAttempt(attemptResultName(result), now);
}

ForwardAction ForwardSession::waitForNextAttempt(Missing, ForwardAction ending, TimePoint now)
{
    return waitForFallback(conclude(std::move(ending)), now);
}

void ForwardSession::forgetRejections(TimePoint now)
{
    std::erase_if(m_triedIds, [this, now](const std::string &id) {
        const auto tried = m_context.servers.server(id, now);
        return !tried || tried->health != BackendHealth::Suspected;
    });
    m_rejections = maxRejections - 1;
    m_addressFailures = maxAddressFailures - 1;
}

ForwardAction ForwardSession::onProbed(std::span<const ServerProbeResult> reports, TimePoint now)
{
    m_evidence.recordReports(reports, ServerEvidence::ReportedLoad::Given, now);
    return KeepWaiting {};
}

ForwardAction ForwardSession::check(TimePoint now)
{
    if (isPastDeadline(now))
        return expire();
    if (hasServer() && now >= overdueAt())
        return onOverdue(now);
    if (!hasServer() && now >= nextLook())
        return lookForAttempt(now);
    return KeepWaiting {};
}

TimePoint ForwardSession::nextCheck() const
{
    return std::min(m_deadline, hasServer() ? overdueAt() : nextLook());
}

ForwardAction ForwardSession::expire()
{
    onAttemptOver();
    const ForwardAction ending = refuse(hasPossibleRun() ? 504 : 503, "deadline");
    releaseServer();
    releaseFallback();
    return conclude(ending);
}

ForwardAction ForwardSession::refuseUnplaced(TimePoint now)
{
    if (m_admittedPlacer.isServicePaused(now))
        return refuse(503, "serversPaused", m_admittedPlacer.waitForServer(now));
    if (m_admittedPlacer.lacksMemory())
        return refuse(503, "serverMemory");
    if (!m_admittedPlacer.isLimited())
        return refuse(503, "noServer");
    return refuse(503, "rateLimited", m_admittedPlacer.waitForServer(now));
}

bool ForwardSession::tryTakeRetry(TimePoint now)
{
    return m_route.allowsRetry() && usedAttempts(now) < m_route.maxAttempts
        && timeLeft(now) >= minTimeLeft && tryConsumeBudget(now);
}

bool ForwardSession::tryConsumeBudget(TimePoint now)
{
    if (m_context.retryBudget.tryConsume(m_service, now))
        return true;
    if (m_context.onRetryDenied)
        m_context.onRetryDenied(m_service);
    return false;
}

ForwardAction ForwardSession::send(SendAttempt attempt, TimePoint now)
{
    // It may have been quarantined while servers were probed.
    if (auto refusal = refuseQuarantined(now))
        return std::move(*refusal);
    if (attempt.keepsLatest && m_server) {
        m_fallback = Fallback {std::move(*m_server), m_sentAt, m_isFailureRecorded,
                               std::move(m_observation)};
        m_server.reset();
        countPossibleRun();
    }
    releaseServer();
    m_heldStatus.reset();
    m_isFailureRecorded = false;
    m_isCrashSuspected = false;
    m_server = attempt.server;
    m_work.start(m_service, m_server->info.id);
    m_observation = AttemptObservation(m_context.versions, m_route.name, m_server->info, now);
    m_triedIds.push_back(m_server->info.id);
    m_sentAt = now;
    attempt.timeLeft = timeLeft(now);
    return attempt;
}

// If the answer has begun, no status is sent: the session turns the refusal into the end of it.
ForwardAction ForwardSession::refuse(int status, std::string_view cause,
                                     Duration minRetryAfter) const
{
    Refuse answer;
    answer.status = callerStatus(status, origin()).value_or(status);
    answer.cause = cause;
    if (answer.status == 503) {
        const auto spread = static_cast<std::uint64_t>(retryAfterSpread.count());
        answer.retryAfter =
            std::max(shortestRetryAfter, std::chrono::ceil<milliseconds>(minRetryAfter))
            + milliseconds(m_context.random.bounded(spread));
    }
    return answer;
}

void ForwardSession::countPossibleRun()
{
    m_suspicion.endTrial();
    ++m_possibleRuns;
}

void ForwardSession::releaseServer()
{
    if (!m_server)
        return;
    m_work.end(m_server->info.id);
    m_server.reset();
    m_observation = {};
}

} // namespace foxtailring
