#include "foxtailring/decisions/ForwardSession.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/BackendTable.h"
#include "foxtailring/decisions/RetryBudget.h"

#include <algorithm>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// A request that this many servers turned away is refused: the service is full or failing.
constexpr std::uint32_t mostRejections = 3;
// An address that another server has, or that nobody answers at, says nothing of the service's
// load.
constexpr std::uint32_t mostWrongAddresses = 8;
// Callers that come back after this find a slot that was taken free again, as a rule. The spread
// keeps callers that were refused together from coming back together.
constexpr milliseconds leastRetryAfter {250};
constexpr milliseconds retryAfterSpread {500};
// Below this a server cannot answer in time.
constexpr milliseconds leastTimeLeft {20};

TimePoint deadlineOf(const HttpRoute &route, const ForwardRequest &request)
{
    const Duration limit = route.timeout;
    return request.arrivedAt + std::min(limit, request.patience.value_or(limit));
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
    leaveServer();
}

ForwardAction ForwardSession::start(TimePoint now)
{
    chooseService();
    if (timeLeft(now) < leastTimeLeft)
        return refuse(503, "noTimeLeft");
    m_context.retries.earn(m_service, now);
    return attempt("first", now);
}

// Services are tried by their weights; one without any server is passed over.
void ForwardSession::chooseService()
{
    std::uint64_t total = 0;
    for (const RouteTarget &target : m_route.targets)
        total += target.weight;
    std::uint64_t ticket = total == 0 ? 0 : m_context.random.below(total);
    for (const RouteTarget &target : m_route.targets) {
        if (ticket < target.weight) {
            m_service = target.service;
            return;
        }
        ticket -= target.weight;
    }
}

void ForwardSession::headReceived(const BackendAnswer &answer, TimePoint now)
{
    if (!m_server)
        return;
    m_context.servers.heard(m_server->info.id, now);
    if (answer.load)
        m_context.servers.loadTold(m_server->info.id, *answer.load, now);
}

ForwardAction ForwardSession::answered(const BackendAnswer &answer, TimePoint now)
{
    if (!m_server)
        return KeepWaiting {};
    if (answer.isOtherServer)
        return misplaced(answer, now);
    if (answer.isNotRun)
        return ended(AttemptResult::NotRun, now);
    // A success without the signature is not the server's answer to a run.
    if (answer.isSuccess() && !answer.isSigned)
        return ended(AttemptResult::Lost, now);
    const bool isFailure = answer.status >= 500;
    m_context.servers.answered(m_server->info.id, isFailure, now);
    leaveServer();
    ++m_runs;
    if (!isFailure)
        return PassAnswer {};
    if (mayRepeat(now)) {
        ForwardAction next = attempt("serverError", now);
        if (std::holds_alternative<SendAttempt>(next))
            return next;
    }
    // An answer of a run with a status that promises that nothing ran would be a lie.
    if (answer.status == 503)
        return refuse(502, "serverUnavailable");
    return PassAnswer {};
}

ForwardAction ForwardSession::misplaced(const BackendAnswer &answer, TimePoint now)
{
    const std::string id = m_server->info.id;
    const std::string_view occupant = mayAdopt() ? answer.serverId : std::string_view();
    leaveServer();
    m_context.servers.replacedByOther(id, occupant, now);
    return rejected(AttemptResult::OtherServer, now);
}

ForwardAction ForwardSession::ended(AttemptResult result, TimePoint now)
{
    if (!m_server)
        return KeepWaiting {};
    const std::string id = m_server->info.id;
    leaveServer();
    if (result == AttemptResult::OtherServer)
        m_context.servers.replacedByOther(id, {}, now);
    else if (result == AttemptResult::NotRun)
        m_context.servers.heard(id, now);
    else
        m_context.servers.failed(id, now);
    if (!mayHaveRun(result))
        return rejected(result, now);
    ++m_runs;
    return lost(result, now);
}

// Nothing ran, so whatever the kind of the request, another server may be tried.
ForwardAction ForwardSession::rejected(AttemptResult result, TimePoint now)
{
    turnedAway();
    ++(result == AttemptResult::NotRun ? m_rejections : m_wrongAddresses);
    const bool isSpent = m_rejections >= mostRejections || m_wrongAddresses >= mostWrongAddresses
        || timeLeft(now) < leastTimeLeft;
    // An attempt that was not sent reached no server and takes nothing from the budget.
    const bool isCounted = result != AttemptResult::NotSent;
    if (isSpent || (isCounted && !m_context.retries.tryRetry(m_service, now)))
        return refuse(503, attemptResultName(result));
    return attempt(attemptResultName(result), now);
}

ForwardAction ForwardSession::asked(std::span<const ServerReport> reports, TimePoint now)
{
    for (const ServerReport &report : reports) {
        if (m_context.servers.isOtherStart(report.serverId, report.startedAtMs))
            continue;
        m_context.servers.heard(report.serverId, now);
        m_context.servers.loadTold(report.serverId, report.load, now);
    }
    return KeepWaiting {};
}

ForwardAction ForwardSession::check(TimePoint now)
{
    if (isOver(now))
        return expired(now);
    if (hasServer() && now >= overdueAt())
        return overdue(now);
    return KeepWaiting {};
}

TimePoint ForwardSession::nextCheck() const
{
    return hasServer() ? std::min(m_deadline, overdueAt()) : m_deadline;
}

ForwardAction ForwardSession::expired(TimePoint /*now*/)
{
    const bool mayRun = hasServer() || m_runs > 0;
    leaveServer();
    return refuse(mayRun ? 504 : 503, "deadline");
}

milliseconds ForwardSession::timeLeft(TimePoint now) const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - now);
}

bool ForwardSession::mayRepeat(TimePoint now)
{
    return m_route.mayRepeat() && m_runs < m_route.maxAttempts && timeLeft(now) >= leastTimeLeft
        && m_context.retries.tryRetry(m_service, now);
}

ForwardAction ForwardSession::send(SendAttempt attempt, TimePoint now)
{
    leaveServer();
    m_server = attempt.server;
    m_context.servers.startWork(m_server->info.id);
    m_tried.push_back(m_server->info.id);
    m_sentAt = now;
    attempt.timeLeft = timeLeft(now);
    return attempt;
}

// A request that may have run is never refused with a status that says that it has not.
ForwardAction ForwardSession::refuse(int status, std::string_view cause) const
{
    Refuse answer;
    answer.status = status == 503 && m_runs > 0 ? 502 : status;
    answer.cause = cause;
    if (answer.status == 503) {
        const auto spread = static_cast<std::uint64_t>(retryAfterSpread.count());
        answer.retryAfter = leastRetryAfter + milliseconds(m_context.random.below(spread));
    }
    return answer;
}

void ForwardSession::countRun()
{
    ++m_runs;
}

void ForwardSession::leaveServer()
{
    if (!m_server)
        return;
    m_context.servers.endWork(m_server->info.id);
    m_server.reset();
}

} // namespace foxtailring
