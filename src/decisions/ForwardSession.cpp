#include "foxtailring/decisions/ForwardSession.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/BackendTable.h"
#include "foxtailring/decisions/RetryBudget.h"

#include <algorithm>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// A request that this many servers turned away is refused: the service is full or failing.
constexpr std::uint32_t maxRejections = 3;
// An address that another server has, or that nobody answers at, says nothing of the service's
// load.
constexpr std::uint32_t maxWrongAddresses = 8;
// Callers that come back after this find a slot that was taken free again, as a rule. The spread
// keeps callers that were refused together from coming back together.
constexpr milliseconds minRetryAfter {250};
constexpr milliseconds retryAfterSpread {500};
// Below this a server cannot answer in time.
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
    , m_deadline(deadlineOf(route, request))
{
}

ForwardSession::~ForwardSession()
{
    releaseServer();
}

ForwardAction ForwardSession::start(TimePoint now)
{
    chooseService();
    if (timeLeft(now) < minTimeLeft)
        return refuse(503, "noTimeLeft");
    m_context.retryBudget.deposit(m_service, now);
    return makeAttempt("first", now);
}

// Services are tried by their weights; one without any server is passed over.
void ForwardSession::chooseService()
{
    std::uint64_t total = 0;
    for (const RouteTarget &target : m_route.targets)
        total += target.weight;
    std::uint64_t ticket = total == 0 ? 0 : m_context.random.bounded(total);
    for (const RouteTarget &target : m_route.targets) {
        if (ticket < target.weight) {
            m_service = target.service;
            return;
        }
        ticket -= target.weight;
    }
}

void ForwardSession::onHead(const BackendAnswer &answer, TimePoint now)
{
    if (!m_server)
        return;
    m_context.servers.recordContact(m_server->info.id, now);
    if (answer.load)
        m_context.servers.updateLoad(m_server->info.id, *answer.load, now);
}

ForwardAction ForwardSession::onAnswer(const BackendAnswer &answer, TimePoint now)
{
    if (!m_server)
        return KeepWaiting {};
    if (answer.isOtherServer)
        return onWrongServer(answer, now);
    if (answer.isNotRun)
        return onAttemptEnded(AttemptResult::NotRun, now);
    // A success without the signature is not the server's answer to a run.
    if (answer.isSuccess() && !answer.isSigned)
        return onAttemptEnded(AttemptResult::Lost, now);
    const bool isFailure = answer.status >= 500;
    m_context.servers.recordAnswer(m_server->info.id, isFailure, now);
    releaseServer();
    ++m_possibleRuns;
    if (!isFailure)
        return PassAnswer {};
    if (tryTakeRetry(now)) {
        ForwardAction next = makeAttempt("serverError", now);
        if (std::holds_alternative<SendAttempt>(next))
            return next;
    }
    // An answer of a run with a status that promises that nothing ran would be a lie.
    if (answer.status == 503)
        return refuse(502, "serverUnavailable");
    return PassAnswer {};
}

ForwardAction ForwardSession::onWrongServer(const BackendAnswer &answer, TimePoint now)
{
    const std::string id = m_server->info.id;
    const std::string_view successorId = acceptsSuccessor() ? answer.serverId : std::string_view();
    releaseServer();
    m_context.servers.recordReplacement(id, successorId, now);
    return retryRejected(AttemptResult::OtherServer, now);
}

ForwardAction ForwardSession::onAttemptEnded(AttemptResult result, TimePoint now)
{
    if (!m_server)
        return KeepWaiting {};
    const std::string id = m_server->info.id;
    releaseServer();
    if (result == AttemptResult::OtherServer)
        m_context.servers.recordReplacement(id, {}, now);
    else if (result == AttemptResult::NotRun)
        m_context.servers.recordContact(id, now);
    else
        m_context.servers.recordFailure(id, now);
    if (!mayHaveRun(result))
        return retryRejected(result, now);
    ++m_possibleRuns;
    return onLost(result, now);
}

// Nothing ran, so whatever the kind of the request, another server may be tried.
ForwardAction ForwardSession::retryRejected(AttemptResult result, TimePoint now)
{
    onRejected();
    ++(result == AttemptResult::NotRun ? m_rejections : m_wrongAddresses);
    const bool isExhausted = m_rejections >= maxRejections || m_wrongAddresses >= maxWrongAddresses
        || timeLeft(now) < minTimeLeft;
    // An attempt that was not sent reached no server and takes nothing from the budget.
    const bool takesBudget = result != AttemptResult::NotSent;
    if (isExhausted || (takesBudget && !m_context.retryBudget.tryConsume(m_service, now)))
        return refuse(503, attemptResultName(result));
    return makeAttempt(attemptResultName(result), now);
}

ForwardAction ForwardSession::onProbed(std::span<const ServerProbeResult> reports, TimePoint now)
{
    for (const ServerProbeResult &report : reports) {
        if (m_context.servers.detectRestart(report.serverId, report.startedAtMs))
            continue;
        m_context.servers.recordContact(report.serverId, now);
        m_context.servers.updateLoad(report.serverId, report.load, now);
    }
    return KeepWaiting {};
}

ForwardAction ForwardSession::check(TimePoint now)
{
    if (isPastDeadline(now))
        return onExpired(now);
    if (hasServer() && now >= overdueAt())
        return onOverdue(now);
    return KeepWaiting {};
}

TimePoint ForwardSession::nextCheck() const
{
    return hasServer() ? std::min(m_deadline, overdueAt()) : m_deadline;
}

ForwardAction ForwardSession::onExpired(TimePoint /*now*/)
{
    const bool mayHaveStarted = hasServer() || m_possibleRuns > 0;
    releaseServer();
    return refuse(mayHaveStarted ? 504 : 503, "deadline");
}

milliseconds ForwardSession::timeLeft(TimePoint now) const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - now);
}

bool ForwardSession::tryTakeRetry(TimePoint now)
{
    return m_route.allowsRetry() && m_possibleRuns < m_route.maxAttempts
        && timeLeft(now) >= minTimeLeft && m_context.retryBudget.tryConsume(m_service, now);
}

ForwardAction ForwardSession::send(SendAttempt attempt, TimePoint now)
{
    releaseServer();
    m_server = attempt.server;
    m_context.servers.startWork(m_server->info.id);
    m_triedIds.push_back(m_server->info.id);
    m_sentAt = now;
    attempt.timeLeft = timeLeft(now);
    return attempt;
}

// A request that may have run is never refused with a status that says that it has not.
ForwardAction ForwardSession::refuse(int status, std::string_view cause) const
{
    Refuse answer;
    answer.status = status == 503 && m_possibleRuns > 0 ? 502 : status;
    answer.cause = cause;
    if (answer.status == 503) {
        const auto spread = static_cast<std::uint64_t>(retryAfterSpread.count());
        answer.retryAfter = minRetryAfter + milliseconds(m_context.random.bounded(spread));
    }
    return answer;
}

void ForwardSession::countPossibleRun()
{
    ++m_possibleRuns;
}

void ForwardSession::releaseServer()
{
    if (!m_server)
        return;
    m_context.servers.endWork(m_server->info.id);
    m_server.reset();
}

} // namespace foxtailring
