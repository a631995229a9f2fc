#include "RequestRelay.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/decisions/CallSession.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Stream.h"

#include "GatewayParts.h"
#include "QuestionRound.h"
#include "Refusal.h"

#include <algorithm>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// A connection is made within one round trip between regions; one lost packet is not waited for,
// since another server can be asked sooner.
constexpr milliseconds connectTimeout {250};
constexpr milliseconds acknowledgeWithin {1500};
// A request that may not be repeated is lost when its kept-alive connection turns out to be dead,
// so only connections that worked a moment ago are used for it.
constexpr milliseconds reuseWithin {8000};
constexpr milliseconds cautiousReuseWithin {1500};
// Bounds what a faulty server can make this process hold.
constexpr std::size_t mostWholeBytes = 16 * 1024 * 1024;
// By then answers that are too large were given up.
constexpr milliseconds memoryRetryAfter {500};
constexpr std::size_t mostOrderBytes = 64 * 1024;
constexpr std::size_t mostUnreadBytes = 1024 * 1024;
constexpr milliseconds leastCheck {5};

std::string msText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

bool isEventStream(const HttpResponse &head)
{
    return head.header("Content-Type").starts_with("text/event-stream");
}

ExchangeOptions exchangeOptions(const HttpRoute &route)
{
    ExchangeOptions options;
    options.connectTimeout = connectTimeout;
    options.acknowledgeWithin = acknowledgeWithin;
    options.reuseWithin = route.allowsRetry() ? reuseWithin : cautiousReuseWithin;
    return options;
}

} // namespace

RequestRelay::RequestRelay(GatewayParts &parts, CallerRequest request,
                           std::shared_ptr<const RouteTable> table, const HttpRoute &route,
                           std::string account, std::shared_ptr<Http1Responder> responder,
                           TimePoint arrivedAt)
    : m_parts(parts)
    , m_request(std::move(request))
    , m_table(std::move(table))
    , m_route(route)
    , m_account(std::move(account))
    , m_responder(std::move(responder))
    , m_arrivedAt(arrivedAt)
    , m_session(makeSession(arrivedAt))
    , m_stream(dynamic_cast<StreamSession *>(m_session.get()))
    , m_memory(parts.memory)
    , m_timer(parts.pool)
{
}

std::unique_ptr<ForwardSession> RequestRelay::makeSession(TimePoint arrivedAt)
{
    ForwardRequest request;
    request.arrivedAt = arrivedAt;
    request.callerTimeout = m_request.patience;
    request.promptId = m_request.promptId;
    request.promptTokens = m_request.promptTokens;
    request.maxOutputTokens = m_request.outputTokens;
    request.lastEventId = m_request.lastEventId;
    for (const RouteTarget &target : m_route.targets) {
        if (const RoutedService *service = m_table->service(target.service))
            request.tokensPerEvent = std::max(request.tokensPerEvent, service->tokensPerEvent);
    }
    const ForwardContext context = m_parts.forwardContext(m_request.id);
    if (m_route.kind != CallKind::Stream)
        return std::make_unique<CallSession>(m_route, request, context);
    const auto allServices = [this](auto property) {
        return std::all_of(m_route.targets.begin(), m_route.targets.end(),
                           [this, property](const RouteTarget &target) {
                               const RoutedService *service = m_table->service(target.service);
                               return service && property(*service);
                           });
    };
    StreamSession::EngineCapabilities capabilities;
    capabilities.canCopyContinuously =
        allServices([](const RoutedService &one) { return one.copiesContinuously; });
    capabilities.isSingleService = m_table->engineServiceCount() == 1;
    capabilities.canBeProbed =
        allServices([](const RoutedService &one) { return one.memoryTokens > 0; });
    capabilities.canCopyOnDemand =
        allServices([](const RoutedService &one) { return one.copiesOnDemand; });
    return std::make_unique<StreamSession>(m_route, request, context, capabilities);
}

void RequestRelay::start()
{
    m_responder->onDisconnect(
        [self = shared_from_this()] { self->m_parts.queue.post([self] { self->callerLeft(); }); });
    if (!holdsInBudget("request"))
        return refuse({503, memoryRetryAfter, "memory"});
    perform(m_session->start(m_parts.clock()));
}

void RequestRelay::perform(const ForwardAction &action)
{
    if (m_isFinished)
        return;
    if (const auto *next = std::get_if<SendAttempt>(&action))
        send(*next);
    else if (const auto *question = std::get_if<ProbeServers>(&action))
        ask(*question);
    else if (const auto *order = std::get_if<CopyRun>(&action))
        copyRun(*order);
    else if (std::holds_alternative<PassAnswer>(action))
        passAnswer();
    else if (const auto *refusal = std::get_if<Refuse>(&action))
        refuse(*refusal);
    else if (const auto *reason = std::get_if<AbortAnswer>(&action))
        cut(*reason);
    watchTime();
}

void RequestRelay::send(const SendAttempt &next)
{
    closeAttempt();
    const auto endpoint = Endpoint::parse(next.server.info.address);
    if (!endpoint)
        return perform(m_session->onAttemptEnded(AttemptResult::NotSent, m_parts.clock()));
    m_attempt = Attempt {};
    m_attempt.number = ++m_attempts;
    m_attempt.serverId = next.server.info.id;
    m_attempt.isFromCopy = next.fromCopy.has_value();
    logAttempt(next);
    AttemptHead head;
    head.serverId = next.server.info.id;
    head.account = m_account;
    head.timeLeft = next.timeLeft;
    head.lastEventId = next.lastEventId;
    if (next.copyTo)
        head.copyTo = next.copyTo->info.address;
    head.fromCopy = next.fromCopy;
    const auto post = posterFor(m_attempt.number);
    StreamHooks hooks;
    hooks.accepts = [wire = &m_parts.wire, id = m_request.id](const HttpResponse &response) {
        const std::string answered = wire->decodeAnswer(response).requestId;
        return answered.empty() || answered == id;
    };
    hooks.head = [post](const HttpResponse &response) {
        post([response](RequestRelay &self) { self.headArrived(response); });
    };
    hooks.body = [post](std::string_view bytes) {
        post([copy = std::string(bytes)](RequestRelay &self) { self.bodyArrived(copy); });
    };
    hooks.closed = [post](const Result<Done> &result) {
        post([result](RequestRelay &self) { self.closed(result); });
    };
    m_attempt.stream =
        m_parts.http.stream(endpoint.value(), m_parts.wire.encodeAttempt(m_request, head),
                            std::move(hooks), exchangeOptions(m_route));
}

void RequestRelay::logAttempt(const SendAttempt &next) const
{
    constexpr std::string_view trustNames[] = {"sound", "doubtful", "suspected"};
    const BackendState &server = next.server;
    m_parts.metrics.add("gateway_attempts_total{cause=\"" + std::string(next.cause) + "\"}");
    StructuredLog::info("attempt",
                        {{"request", m_request.id},
                         {"number", std::to_string(m_attempts)},
                         {"server", server.info.id},
                         {"zone", server.info.availabilityZone},
                         {"cause", std::string(next.cause)},
                         {"trust", std::string(trustNames[static_cast<int>(server.health)])},
                         {"inFlight", std::to_string(server.inFlight)},
                         {"loadAgeMs", server.load ? msText(server.loadAge) : "none"},
                         {"fromCopy", next.fromCopy ? "true" : "false"},
                         {"copyTo", next.copyTo ? next.copyTo->info.id : ""},
                         {"timeLeftMs", std::to_string(next.timeLeft.count())}});
}

void RequestRelay::ask(const ProbeServers &question)
{
    const std::uint64_t number = ++m_questions;
    const auto round = std::make_shared<QuestionRound>(
        m_parts, m_request, question,
        [self = shared_from_this(), number](std::span<const ServerProbeResult> reports) {
            if (self->m_isFinished || self->m_questions != number)
                return;
            self->answeredByServers(reports);
        });
    round->start();
}

void RequestRelay::copyRun(const CopyRun &order)
{
    const auto hook = [self = shared_from_this(), order](const Result<HttpResponse> &response) {
        self->m_parts.queue.post([self, order, response] {
            if (!self->m_isFinished)
                self->runCopied(order, response);
        });
    };
    const auto endpoint = Endpoint::parse(order.from.info.address);
    if (!endpoint)
        return hook(endpoint.error());
    ExchangeOptions options = ExchangeOptions::pooled();
    options.connectTimeout = connectTimeout;
    options.mostBodyBytes = mostOrderBytes;
    m_parts.http.request(endpoint.value(),
                         m_parts.wire.encodeCopyOrder(m_request.id, order.to.info.address),
                         order.timeout, hook, options);
}

void RequestRelay::runCopied(const CopyRun &order, const Result<HttpResponse> &response)
{
    auto handle = response ? m_parts.wire.decodeCopyOrder(response.value())
                           : Result<std::string>(response.error());
    StructuredLog::info("runCopied",
                        {{"request", m_request.id},
                         {"server", order.from.info.id},
                         {"copyTo", order.to.info.id},
                         {"error", handle ? "" : handle.error().message}});
    m_parts.metrics.add(handle ? "gateway_copies_total{outcome=\"made\"}"
                               : "gateway_copies_total{outcome=\"failed\"}");
    std::optional<std::string> name;
    if (handle)
        name = std::move(handle).value();
    perform(m_stream->onCopied(order, std::move(name), m_parts.clock()));
}

void RequestRelay::answeredByServers(std::span<const ServerProbeResult> reports)
{
    std::string summary;
    for (const ServerProbeResult &report : reports)
        summary += report.serverId + " running " + std::to_string(report.load.running) + " waiting "
            + std::to_string(report.load.waiting) + " reading "
            + std::to_string(report.load.prefilling) + " events "
            + (report.hasRun ? std::to_string(report.eventsProduced) : "none")
            + (report.hasPrompt ? " prompt; " : "; ");
    StructuredLog::info("serversAsked",
                        {{"request", m_request.id},
                         {"reports", summary},
                         {"attempt", std::to_string(m_attempt.number)},
                         {"lastEvent", std::to_string(m_stream->lastEventId().value_or(0))}});
    perform(m_session->onProbed(reports, m_parts.clock()));
}

std::function<void(RequestRelay::Work)> RequestRelay::posterFor(std::uint64_t number)
{
    return [self = shared_from_this(), number](Work work) {
        self->m_parts.queue.post([self, number, work = std::move(work)] {
            if (!self->m_isFinished && self->m_attempt.number == number)
                work(*self);
        });
    };
}

void RequestRelay::headArrived(HttpResponse head)
{
    m_attempt.answer = m_parts.wire.decodeAnswer(head);
    m_attempt.head = std::move(head);
    m_session->onHead(m_attempt.answer, m_parts.clock());
    const BackendAnswer &answer = m_attempt.answer;
    m_attempt.isStreamed = m_stream && answer.isSuccess() && answer.isSigned && !answer.isNotRun
        && isEventStream(m_attempt.head);
}

void RequestRelay::bodyArrived(std::string_view bytes)
{
    if (!m_attempt.isStreamed) {
        m_attempt.body += bytes;
        if (m_attempt.body.size() > mostWholeBytes || !holdsInBudget("answer"))
            end(AttemptResult::Lost);
        return;
    }
    const std::uint64_t number = m_attempt.number;
    const bool isReadable = m_attempt.events.feed(bytes, [&](auto id, std::string_view text) {
        if (m_attempt.number == number && !m_isFinished)
            eventArrived(id, text);
    });
    if (m_isFinished || m_attempt.number != number)
        return;
    if (!isReadable || !holdsInBudget("stream"))
        end(AttemptResult::Lost);
}

bool RequestRelay::holdsInBudget(std::string_view what)
{
    const std::size_t bytes = m_request.http.body.size() + m_attempt.body.size()
        + m_attempt.events.pendingBytes() + m_responder->pendingBytes();
    const bool isAllowed = m_memory.tryResize(bytes);
    m_parts.metrics.setGauge("gateway_held_bytes", static_cast<double>(m_parts.memory.held()));
    if (isAllowed)
        return true;
    m_parts.metrics.add("gateway_too_large_total{what=\"" + std::string(what) + "\"}");
    StructuredLog::warn("answerTooLarge",
                        {{"request", m_request.id},
                         {"what", std::string(what)},
                         {"server", m_attempt.serverId},
                         {"bytes", std::to_string(bytes)},
                         {"heldByAll", std::to_string(m_parts.memory.held())}});
    return false;
}

void RequestRelay::eventArrived(std::optional<std::int64_t> id, std::string_view text)
{
    const TimePoint now = m_parts.clock();
    if (!id)
        return end(AttemptResult::Lost);
    const EventVerdict verdict = m_stream->onEvent(*id, now);
    if (verdict == EventVerdict::Gap)
        return end(AttemptResult::Lost);
    if (verdict == EventVerdict::Duplicate)
        return;
    noteResume(now);
    beginStream();
    m_responder->write(std::string(text));
    // A caller that does not read is cut off before it takes the memory of others.
    if (m_responder->pendingBytes() > mostUnreadBytes)
        cut({"callerReadsTooSlowly"});
}

// The pause is what the caller saw between the last event before a loss and the first one after.
void RequestRelay::noteResume(TimePoint now)
{
    const bool isFirst = !std::exchange(m_attempt.hasEvents, true);
    const bool isResumed = m_hasBegun && isFirst;
    const Duration pause = now - std::exchange(m_lastEventAt, now);
    if (!isResumed)
        return;
    m_parts.metrics.observeSeconds("gateway_resume_seconds",
                                   std::chrono::duration<double>(pause).count());
    StructuredLog::info("resumed",
                        {{"request", m_request.id},
                         {"server", m_attempt.serverId},
                         {"fromCopy", m_attempt.isFromCopy ? "true" : "false"},
                         {"pauseMs", msText(pause)}});
}

void RequestRelay::beginStream()
{
    if (std::exchange(m_hasBegun, true))
        return;
    m_responder->startStream(m_attempt.answer.status, m_parts.wire.callerHeaders(m_attempt.head));
    m_parts.metrics.observeSeconds(
        "gateway_first_event_seconds",
        std::chrono::duration<double>(m_parts.clock() - m_arrivedAt).count());
}

void RequestRelay::closed(const Result<Done> &result)
{
    m_attempt.stream.reset();
    if (!result) {
        const bool isUnsent = result.error().code == ErrorCode::Unavailable;
        return end(isUnsent ? AttemptResult::NotSent : AttemptResult::Lost);
    }
    if (m_attempt.isStreamed)
        return streamEnded();
    perform(m_session->onAnswer(m_attempt.answer, m_parts.clock()));
}

void RequestRelay::streamEnded()
{
    if (m_attempt.events.hasPartialEvent())
        return end(AttemptResult::Lost);
    beginStream();
    perform(m_stream->onFinished(m_parts.clock()));
    m_responder->finish();
    finish("served", "", m_attempt.answer.status);
}

void RequestRelay::end(AttemptResult result)
{
    StructuredLog::info("attemptFailed",
                        {{"request", m_request.id},
                         {"number", std::to_string(m_attempts)},
                         {"server", m_attempt.serverId},
                         {"result", std::string(attemptResultName(result))},
                         {"ageMs", msText(m_parts.clock() - m_arrivedAt)}});
    perform(m_session->onAttemptEnded(result, m_parts.clock()));
}

void RequestRelay::passAnswer()
{
    HttpResponse response;
    response.status = m_attempt.answer.status;
    response.headers = m_parts.wire.callerHeaders(m_attempt.head);
    response.body = std::move(m_attempt.body);
    m_responder->respond(std::move(response));
    finish(m_attempt.answer.isSuccess() ? "served" : "serverFailed", "", m_attempt.answer.status);
}

void RequestRelay::refuse(const Refuse &refusal)
{
    closeAttempt();
    m_responder->respond(refusalResponse(m_request.id, refusal));
    finish("refused", refusal.cause, refusal.status);
}

void RequestRelay::cut(const AbortAnswer &reason)
{
    closeAttempt();
    m_responder->abort();
    finish("cut", reason.cause, 0);
}

void RequestRelay::callerLeft()
{
    if (m_isFinished)
        return;
    closeAttempt();
    finish("callerLeft", "", 0);
}

void RequestRelay::closeAttempt()
{
    m_attempt.number = 0;
    if (const auto stream = std::exchange(m_attempt.stream, nullptr))
        stream->cancel();
}

void RequestRelay::finish(std::string_view outcome, std::string_view cause, int status)
{
    m_isFinished = true;
    m_timer.cancel();
    if (m_stream)
        m_stream->dropCopy();
    m_parts.metrics.observeSeconds(
        m_stream ? "gateway_answer_seconds{kind=\"stream\"}"
                 : "gateway_answer_seconds{kind=\"call\"}",
        std::chrono::duration<double>(m_parts.clock() - m_arrivedAt).count());
    m_parts.metrics.add("gateway_requests_total{outcome=\"" + std::string(outcome) + "\"}");
    StructuredLog::info("request",
                        {{"request", m_request.id},
                         {"outcome", std::string(outcome)},
                         {"cause", std::string(cause)},
                         {"status", std::to_string(status)},
                         {"route", m_route.name},
                         {"config", std::to_string(m_table->version())},
                         {"server", m_attempt.serverId},
                         {"attempts", std::to_string(m_attempts)},
                         {"tookMs", msText(m_parts.clock() - m_arrivedAt)}});
}

// The timer runs at the earliest limit and looks again when events have moved it since.
void RequestRelay::watchTime()
{
    if (m_isFinished)
        return;
    const auto wait = std::chrono::ceil<milliseconds>(m_session->nextCheck() - m_parts.clock());
    m_timer.once(std::max(wait, leastCheck), [self = shared_from_this()] {
        self->m_parts.queue.post([self] { self->checkTime(); });
    });
}

void RequestRelay::checkTime()
{
    if (m_isFinished)
        return;
    perform(m_session->check(m_parts.clock()));
}

} // namespace foxtailring
