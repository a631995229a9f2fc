#include "RequestRelay.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/decisions/CallSession.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Stream.h"

#include "DurationText.h"
#include "GatewayParts.h"
#include "Refusal.h"
#include "ServerProbe.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// Covers one round trip between regions. A lost packet is not waited for: trying another server is
// faster than the retransmission.
constexpr milliseconds connectTimeout {250};
constexpr milliseconds acknowledgeTimeout {1500};
// A request that may not be retried is lost if its kept-alive connection turns out to be dead, so
// it only uses connections that have been idle for a short time.
constexpr milliseconds maxReuseIdle {8000};
constexpr milliseconds cautiousMaxReuseIdle {1500};
// Limits the memory that a faulty server can make this process hold.
constexpr std::size_t maxBufferedAnswerBytes = 16 * 1024 * 1024;
// By then attempts with an oversized answer have been cancelled, which frees their memory.
constexpr milliseconds memoryRetryAfter {500};
constexpr std::size_t maxUnreadCallerBytes = 1024 * 1024;
constexpr milliseconds minTimerDelay {5};

// An answer that comes later is not read. Engines keep a snapshot for 4 s at least, counted from
// the order, of which the time limit of an order is 1.5 s.
constexpr milliseconds lateCopyAnswerTime {2500};

// The copy that \a response names belongs to a request that is over.
void releaseUnused(GatewayParts &parts, const std::string &requestId, const CopyRun &command,
                   const HttpResponse &response)
{
    const auto handle = parts.codec.decodeCopyResponse(response);
    if (!handle)
        return;
    parts.metrics.add("gateway_copies_total{outcome=\"late\"}");
    const BackendInfo &server = command.from.info;
    if (parts.servers.acceptsNewWork(server.id))
        parts.releaseCopy(requestId, {server.address, handle.value(), server.id});
}

bool isEventStream(const HttpResponse &head)
{
    return head.header("Content-Type").starts_with("text/event-stream");
}

AttemptResult failureOf(const Error &error)
{
    if (error.code == ErrorCode::Unavailable)
        return AttemptResult::NotSent;
    return error.code == ErrorCode::Malformed ? AttemptResult::Invalid : AttemptResult::Lost;
}

std::string joined(std::span<const std::string> names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ",") + name;
    return text;
}

ExchangeOptions exchangeOptions(const HttpRoute &route)
{
    ExchangeOptions options;
    options.connectTimeout = connectTimeout;
    options.unacknowledgedTimeout = acknowledgeTimeout;
    options.maxIdleTime = route.allowsRetry() ? maxReuseIdle : cautiousMaxReuseIdle;
    return options;
}

} // namespace

RequestRelay::RequestRelay(GatewayParts &parts, GatewayRequest request,
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
    , m_memory(parts.memoryBudget)
    , m_timer(parts.pool)
{
}

std::unique_ptr<ForwardSession> RequestRelay::makeSession(TimePoint arrivedAt)
{
    ForwardRequest request;
    request.arrivedAt = arrivedAt;
    request.callerTimeout = m_request.timeout;
    request.promptId = m_request.promptId;
    request.sharedPromptParts = m_request.sharedPromptParts;
    request.promptTokens = m_request.promptTokens;
    request.maxOutputTokens = m_request.maxOutputTokens;
    request.lastEventId = m_request.lastEventId;
    request.minAttemptTime = m_request.minAttemptTime;
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
    m_responder->onDisconnect([self = shared_from_this()] {
        self->m_parts.queue.post([self] { self->onCallerDisconnect(); });
    });
    if (!updateHeldMemory("request"))
        return refuse({503, memoryRetryAfter, "memory"});
    guard([this] { perform(m_session->start(m_parts.clock())); });
}

// A codec that throws must not leave the caller without an answer: the timer may not be set, or the
// session may wait for a result that was dropped.
void RequestRelay::guard(const std::function<void()> &work)
{
    try {
        work();
    } catch (const std::exception &exception) {
        onException(exception.what());
    }
}

// The status does not say whether the request was executed, since an attempt may be in progress.
void RequestRelay::onException(std::string_view message)
{
    StructuredLog::warn("requestException",
                        {{"request", m_request.id}, {"message", std::string(message)}});
    m_parts.metrics.add("gateway_request_exceptions_total");
    if (m_isFinished)
        return;
    if (m_hasStartedAnswer)
        return abortAnswer({"exception"});
    refuse({502, milliseconds(0), "exception"});
}

void RequestRelay::giveUp()
{
    if (!m_isFinished)
        perform(m_session->expire());
}

void RequestRelay::perform(const ForwardAction &action)
{
    if (m_isFinished)
        return;
    if (const auto *next = std::get_if<SendAttempt>(&action))
        send(*next);
    else if (const auto *probe = std::get_if<ProbeServers>(&action))
        probeServers(*probe);
    else if (const auto *command = std::get_if<CopyRun>(&action))
        copyRun(*command);
    else if (const auto *pass = std::get_if<PassAnswer>(&action))
        forwardAnswer(*pass);
    else if (const auto *refusal = std::get_if<Refuse>(&action))
        refuse(*refusal);
    else if (const auto *reason = std::get_if<AbortAnswer>(&action))
        abortAnswer(*reason);
    armTimer();
}

void RequestRelay::send(const SendAttempt &next)
{
    if (next.keepsLatest)
        m_fallback = std::exchange(m_attempt, Attempt {});
    cancelAttempt();
    const auto endpoint = Endpoint::parse(next.server.info.address);
    if (!endpoint)
        return perform(m_session->onAttemptEnded(AttemptResult::NotSent, m_parts.clock()));
    m_attempt = Attempt {};
    m_attempt.number = ++m_attemptCount;
    if (!m_stream && m_attemptCount == 1)
        m_parts.answerTimes.begin(m_route.name, m_arrivedAt);
    m_attempt.serverId = next.server.info.id;
    m_attempt.endpoint = endpoint.value();
    m_attempt.isFromCopy = next.fromCopy.has_value();
    logAttempt(next);
    AttemptMetadata metadata;
    metadata.serverId = next.server.info.id;
    metadata.account = m_account;
    metadata.timeLeft = next.timeLeft;
    metadata.lastEventId = next.lastEventId;
    if (next.copyTo)
        metadata.copyTo = next.copyTo->info.address;
    metadata.fromCopy = next.fromCopy;
    const auto post = attemptPoster(m_attempt.number);
    StreamHooks hooks;
    // Only the refusal of a malformed request has no id. On a connection that was used before, it
    // may as well be an earlier answer that is written once more.
    hooks.matchesRequest = [codec = &m_parts.codec, id = m_request.id](const HttpResponse &response,
                                                                       bool isFirstResponse) {
        const std::string answered = codec->decodeAnswer(response).requestId;
        return answered.empty() ? isFirstResponse : answered == id;
    };
    // A repeated refusal with the id of this request could meet its next attempt at the same
    // address, so no connection that carried a refusal is used again.
    hooks.allowsReuse = [codec = &m_parts.codec](const HttpResponse &response) {
        const BackendAnswer answer = codec->decodeAnswer(response);
        return !answer.isNotRun && !answer.isOtherServer;
    };
    hooks.onHead = [self = shared_from_this(), number = m_attempt.number,
                    info = next.server.info](const HttpResponse &response) {
        self->m_parts.queue.post([self, number, info, response] {
            if (!self->m_isFinished && self->m_attempt.number == number)
                self->onHead(response);
            else if (!self->m_isFinished && self->isFallback(number))
                self->onFallbackHead(response);
            else
                self->m_parts.recordPause(info, response);
        });
    };
    hooks.onBody = [post](std::string_view bytes) {
        const auto copy = std::make_shared<const std::string>(bytes);
        post([copy](RequestRelay &self) { self.onBody(*copy); },
             [copy](RequestRelay &self) { self.onFallbackBody(*copy); });
    };
    hooks.onClosed = [post](const Result<Done> &result) {
        post([result](RequestRelay &self) { self.onClosed(result); },
             [result](RequestRelay &self) { self.onFallbackClosed(result); });
    };
    m_attempt.stream =
        m_parts.http.stream(endpoint.value(), m_parts.codec.encodeAttempt(m_request, metadata),
                            std::move(hooks), exchangeOptions(m_route));
}

void RequestRelay::logAttempt(const SendAttempt &next) const
{
    constexpr std::string_view healthNames[] = {"sound", "doubtful", "suspected"};
    const BackendState &server = next.server;
    m_parts.metrics.add("gateway_attempts_total{cause=\"" + std::string(next.cause) + "\"}");
    StructuredLog::info("attempt",
                        {{"request", m_request.id},
                         {"number", std::to_string(m_attemptCount)},
                         {"server", server.info.id},
                         {"zone", server.info.availabilityZone},
                         {"cause", std::string(next.cause)},
                         {"trust", std::string(healthNames[static_cast<int>(server.health)])},
                         {"inFlight", std::to_string(server.inFlight)},
                         {"loadAgeMs", server.load ? msText(server.loadAge) : "none"},
                         {"fromCopy", next.fromCopy ? "true" : "false"},
                         {"copyTo", next.copyTo ? next.copyTo->info.id : ""},
                         {"timeLeftMs", std::to_string(next.timeLeft.count())}});
}

void RequestRelay::probeServers(const ProbeServers &probe)
{
    const std::uint64_t number = ++m_probeCount;
    const auto serverProbe = std::make_shared<ServerProbe>(
        m_parts, m_request, probe,
        [self = shared_from_this(), number](std::span<const ServerProbeResult> results) {
            if (self->m_isFinished || self->m_probeCount != number)
                return;
            self->guard([&self, results] { self->onProbeResults(results); });
        });
    serverProbe->start();
}

// The order may be answered after its time limit, and after the end of the request, which does not
// wait for it. Such an answer names a copy that nobody uses.
void RequestRelay::copyRun(const CopyRun &command)
{
    const std::uint64_t order = ++m_copyOrderCount;
    m_openCopyOrder = order;
    const auto hook = [weak = weak_from_this(), &parts = m_parts, requestId = m_request.id, command,
                       order](const Result<HttpResponse> &response) {
        parts.queue.post([weak, &parts, requestId, command, order, response] {
            if (response)
                parts.recordPause(command.from.info, response.value());
            const auto self = weak.lock();
            if (self && !self->m_isFinished)
                return self->guard([&] { self->onOrderAnswered(order, command, response); });
            if (response)
                releaseUnused(parts, requestId, command, response.value());
        });
    };
    armCopyTimer(order, command);
    m_parts.sendOrder(command.from.info.address,
                      m_parts.codec.encodeCopyRequest(m_request.id, command.to.info.address),
                      command.timeout + lateCopyAnswerTime, hook);
}

void RequestRelay::armCopyTimer(std::uint64_t order, const CopyRun &command)
{
    if (!m_copyTimer)
        m_copyTimer.emplace(m_parts.pool);
    m_copyTimer->once(command.timeout, [weak = weak_from_this(), &parts = m_parts, order, command] {
        parts.queue.post([weak, order, command] {
            const auto self = weak.lock();
            if (!self || self->m_isFinished || self->m_openCopyOrder != order)
                return;
            self->m_openCopyOrder = 0;
            self->guard([&] {
                self->onRunCopied(command, Error {ErrorCode::Timeout, "no answer in time"});
            });
        });
    });
}

void RequestRelay::onOrderAnswered(std::uint64_t order, const CopyRun &command,
                                   const Result<HttpResponse> &response)
{
    if (m_openCopyOrder == order) {
        m_openCopyOrder = 0;
        m_copyTimer->cancel();
        return onRunCopied(command, response);
    }
    auto handle = response ? m_parts.codec.decodeCopyResponse(response.value())
                           : Result<std::string>(response.error());
    if (!handle)
        return;
    m_parts.metrics.add("gateway_copies_total{outcome=\"late\"}");
    m_stream->onLateCopy(command, std::move(handle).value());
}

void RequestRelay::onRunCopied(const CopyRun &command, const Result<HttpResponse> &response)
{
    auto handle = response ? m_parts.codec.decodeCopyResponse(response.value())
                           : Result<std::string>(response.error());
    StructuredLog::info("runCopied",
                        {{"request", m_request.id},
                         {"server", command.from.info.id},
                         {"copyTo", command.to.info.id},
                         {"error", handle ? "" : handle.error().message}});
    m_parts.metrics.add(handle ? "gateway_copies_total{outcome=\"made\"}"
                               : "gateway_copies_total{outcome=\"failed\"}");
    std::optional<std::string> copyHandle;
    if (handle)
        copyHandle = std::move(handle).value();
    perform(m_stream->onCopied(command, std::move(copyHandle), m_parts.clock()));
}

void RequestRelay::onProbeResults(std::span<const ServerProbeResult> results)
{
    std::string summary;
    for (const ServerProbeResult &report : results)
        summary += report.serverId + " running " + std::to_string(report.load.running) + " waiting "
            + std::to_string(report.load.waiting) + " reading "
            + std::to_string(report.load.prefilling) + " events "
            + (report.hasRun ? std::to_string(report.eventCount) : "none")
            + (report.hasPrompt ? " prompt; " : "; ");
    StructuredLog::info("serversAsked",
                        {{"request", m_request.id},
                         {"reports", summary},
                         {"attempt", std::to_string(m_attempt.number)},
                         {"lastEvent", std::to_string(m_stream->lastEventId().value_or(0))}});
    perform(m_session->onProbed(results, m_parts.clock()));
}

std::function<void(RequestRelay::AttemptTask, RequestRelay::AttemptTask)>
RequestRelay::attemptPoster(std::uint64_t number)
{
    return [self = shared_from_this(), number](AttemptTask task, AttemptTask fallbackTask) {
        self->m_parts.queue.post(
            [self, number, task = std::move(task), fallbackTask = std::move(fallbackTask)] {
                if (self->m_isFinished)
                    return;
                if (self->m_attempt.number == number)
                    self->guard([&self, &task] { task(*self); });
                else if (self->isFallback(number))
                    self->guard([&self, &fallbackTask] { fallbackTask(*self); });
            });
    };
}

bool RequestRelay::isFallback(std::uint64_t number) const
{
    return m_fallback.number != 0 && m_fallback.number == number;
}

void RequestRelay::recordHead(Attempt &attempt, HttpResponse head)
{
    attempt.hasHead = true;
    attempt.answer = m_parts.codec.decodeAnswer(head);
    attempt.head = std::move(head);
    if (attempt.answer.namesRateLimit)
        logRateLimit(attempt);
}

void RequestRelay::onFallbackHead(HttpResponse head)
{
    recordHead(m_fallback, std::move(head));
    m_session->onFallbackHead(m_fallback.answer, m_parts.clock());
}

void RequestRelay::onFallbackBody(std::string_view bytes)
{
    m_fallback.body += bytes;
    if (m_fallback.body.size() > maxBufferedAnswerBytes || !updateHeldMemory("answer"))
        endFallback(AttemptResult::Invalid);
}

void RequestRelay::onFallbackClosed(const Result<Done> &result)
{
    m_fallback.stream.reset();
    if (!result)
        return endFallback(recordConnectionError(m_fallback, result.error()));
    perform(m_session->onFallbackAnswer(m_fallback.answer, m_parts.clock()));
    cancelFallback();
}

void RequestRelay::endFallback(AttemptResult result)
{
    logFailure(m_fallback, result);
    cancelFallback();
    perform(m_session->onFallbackEnded(result, m_parts.clock()));
}

void RequestRelay::cancelFallback()
{
    if (const auto stream = std::exchange(m_fallback.stream, nullptr))
        stream->cancel();
    m_fallback = Attempt {};
}

void RequestRelay::onHead(HttpResponse head)
{
    recordHead(m_attempt, std::move(head));
    m_session->onHead(m_attempt.answer, m_parts.clock());
    const BackendAnswer &answer = m_attempt.answer;
    m_attempt.isStreaming = m_stream && answer.isSuccess() && answer.isSigned && !answer.isNotRun
        && isEventStream(m_attempt.head);
}

void RequestRelay::logRateLimit(const Attempt &attempt) const
{
    const auto &limit = attempt.answer.rateLimit;
    m_parts.metrics.add(limit ? "gateway_limits_named_total{form=\"readable\"}"
                              : "gateway_limits_named_total{form=\"unreadable\"}");
    StructuredLog::info("limitNamed",
                        {{"request", m_request.id},
                         {"server", attempt.serverId},
                         {"limitPerSecond", limit ? std::to_string(*limit) : "unreadable"}});
}

void RequestRelay::onBody(std::string_view bytes)
{
    if (!m_attempt.isStreaming) {
        m_attempt.body += bytes;
        if (m_attempt.body.size() > maxBufferedAnswerBytes || !updateHeldMemory("answer"))
            endAttempt(AttemptResult::Invalid);
        return;
    }
    const std::uint64_t number = m_attempt.number;
    const bool isReadable = m_attempt.events.feed(bytes, [&](auto id, std::string_view text) {
        if (m_attempt.number == number && !m_isFinished)
            onEvent(id, text);
    });
    if (m_isFinished || m_attempt.number != number)
        return;
    if (!isReadable || !updateHeldMemory("stream"))
        return endAttempt(AttemptResult::Invalid);
    if (m_attempt.events.hasPartialEvent())
        m_stream->onPartialEvent(m_parts.clock());
}

bool RequestRelay::updateHeldMemory(std::string_view what)
{
    const std::size_t bytes = m_request.http.body.size() + m_attempt.body.size()
        + m_fallback.body.size() + m_attempt.events.pendingBytes() + m_responder->pendingBytes();
    const bool isAllowed = m_memory.tryResize(bytes);
    m_parts.metrics.setGauge("gateway_held_bytes",
                             static_cast<double>(m_parts.memoryBudget.held()));
    if (isAllowed)
        return true;
    m_parts.metrics.add("gateway_too_large_total{what=\"" + std::string(what) + "\"}");
    StructuredLog::warn("answerTooLarge",
                        {{"request", m_request.id},
                         {"what", std::string(what)},
                         {"server", m_attempt.serverId},
                         {"bytes", std::to_string(bytes)},
                         {"heldByAll", std::to_string(m_parts.memoryBudget.held())}});
    return false;
}

void RequestRelay::onEvent(std::optional<std::int64_t> id, std::string_view text)
{
    const TimePoint now = m_parts.clock();
    if (!id)
        return endAttempt(AttemptResult::Invalid);
    const EventVerdict verdict = m_stream->onEvent(*id, now);
    if (verdict == EventVerdict::Gap)
        return endAttempt(AttemptResult::Invalid);
    if (verdict == EventVerdict::Duplicate)
        return;
    recordResume(now);
    startStreamedAnswer();
    m_responder->write(std::string(text));
    // A caller that does not read is disconnected before it uses up the memory of other requests.
    if (m_responder->pendingBytes() > maxUnreadCallerBytes)
        abortAnswer({"callerReadsTooSlowly"});
}

// The pause is the time between the last event before the failure and the first one after it, as
// the caller saw it.
void RequestRelay::recordResume(TimePoint now)
{
    const bool isFirst = ++m_attempt.eventCount == 1;
    const bool isResumed = m_hasStartedAnswer && isFirst;
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

void RequestRelay::startStreamedAnswer()
{
    if (m_hasStartedAnswer)
        return;
    // Before the flag is set, since it may throw.
    auto headers = m_parts.codec.callerResponseHeaders(m_attempt.head);
    m_hasStartedAnswer = true;
    m_responder->startStream(m_attempt.answer.status, std::move(headers));
    m_parts.metrics.observeSeconds(
        "gateway_first_event_seconds",
        std::chrono::duration<double>(m_parts.clock() - m_arrivedAt).count());
}

void RequestRelay::onClosed(const Result<Done> &result)
{
    m_attempt.stream.reset();
    if (!result)
        return endAttempt(recordConnectionError(m_attempt, result.error()));
    if (m_attempt.isStreaming)
        return onStreamEnd();
    if (isEmptyRun())
        return endAttempt(AttemptResult::Lost);
    perform(m_session->onAnswer(m_attempt.answer, m_parts.clock()));
}

// A server at its limit of connections resets one before it answers, which looks like the end of
// the server.
AttemptResult RequestRelay::recordConnectionError(const Attempt &attempt, const Error &error)
{
    const bool isCut = error.code == ErrorCode::Unavailable || error.code == ErrorCode::Closed;
    if (isCut && !attempt.hasHead)
        m_parts.onConnectionFailed(attempt.serverId, attempt.endpoint);
    return failureOf(error);
}

// A run has an output, so an empty success is not its answer.
bool RequestRelay::isEmptyRun() const
{
    const BackendAnswer &answer = m_attempt.answer;
    const std::string &method = m_request.http.method;
    return m_stream && answer.status == 200 && !answer.isNotRun && m_attempt.body.empty()
        && method != "HEAD" && method != "OPTIONS";
}

void RequestRelay::onStreamEnd()
{
    if (m_attempt.events.hasPartialEvent() || !m_stream->confirmEnd())
        return endAttempt(AttemptResult::Lost);
    startStreamedAnswer();
    perform(m_stream->onFinished(m_parts.clock()));
    m_responder->finish();
    finish("served", "", m_attempt.answer.status);
}

void RequestRelay::endAttempt(AttemptResult result)
{
    logFailure(m_attempt, result);
    if (!m_stream) {
        // The session may wait for the fallback, which would let an oversized answer go on.
        cancelAttempt();
        m_attempt.body.clear();
    }
    perform(m_session->onAttemptEnded(result, m_parts.clock()));
}

void RequestRelay::logFailure(const Attempt &attempt, AttemptResult result) const
{
    StructuredLog::info("attemptFailed",
                        {{"request", m_request.id},
                         {"number", std::to_string(attempt.number)},
                         {"server", attempt.serverId},
                         {"result", std::string(attemptResultName(result))},
                         {"events", std::to_string(attempt.eventCount)},
                         {"promptParts", joined(m_request.sharedPromptParts)},
                         {"ageMs", msText(m_parts.clock() - m_arrivedAt)}});
}

void RequestRelay::forwardAnswer(const PassAnswer &pass)
{
    if (pass.isFallback) {
        cancelAttempt();
        m_attempt = std::exchange(m_fallback, Attempt {});
    }
    HttpResponse response;
    response.status = m_attempt.answer.status;
    response.headers = m_parts.codec.callerResponseHeaders(m_attempt.head);
    response.body = std::move(m_attempt.body);
    m_responder->respond(std::move(response));
    finish(m_attempt.answer.isSuccess() ? "served" : "serverFailed", "", m_attempt.answer.status);
}

void RequestRelay::refuse(const Refuse &refusal)
{
    cancelAttempt();
    m_responder->respond(refusalResponse(m_request.id, refusal));
    finish("refused", refusal.cause, refusal.status);
}

void RequestRelay::abortAnswer(const AbortAnswer &reason)
{
    cancelAttempt();
    m_responder->abort();
    finish("cut", reason.cause, 0);
}

void RequestRelay::onCallerDisconnect()
{
    if (m_isFinished)
        return;
    cancelAttempt();
    finish("callerLeft", "", 0);
}

void RequestRelay::cancelAttempt()
{
    m_attempt.number = 0;
    if (const auto stream = std::exchange(m_attempt.stream, nullptr))
        stream->cancel();
}

void RequestRelay::finish(std::string_view outcome, std::string_view cause, int status)
{
    m_isFinished = true;
    cancelFallback();
    m_timer.cancel();
    if (m_stream)
        m_stream->endCopies();
    m_parts.metrics.observeSeconds(
        m_stream ? "gateway_answer_seconds{kind=\"stream\"}"
                 : "gateway_answer_seconds{kind=\"call\"}",
        std::chrono::duration<double>(m_parts.clock() - m_arrivedAt).count());
    m_parts.metrics.add("gateway_requests_total{outcome=\"" + std::string(outcome) + "\"}");
    // To the caller, 503 means that no server has executed the request.
    if (!m_stream && m_attemptCount > 0)
        m_parts.answerTimes.end(m_route.name, m_arrivedAt, status != 503, m_parts.clock());
    StructuredLog::info("request",
                        {{"request", m_request.id},
                         {"outcome", std::string(outcome)},
                         {"cause", std::string(cause)},
                         {"status", std::to_string(status)},
                         {"route", m_route.name},
                         {"config", std::to_string(m_table->version())},
                         {"server", m_attempt.serverId},
                         {"attempts", std::to_string(m_attemptCount)},
                         {"tookMs", msText(m_parts.clock() - m_arrivedAt)}});
}

// The timer is set for the earliest time limit. If events have moved that limit by the time it
// fires, check() does nothing and the timer is set again.
void RequestRelay::armTimer()
{
    if (m_isFinished)
        return;
    const auto wait = std::chrono::ceil<milliseconds>(m_session->nextCheck() - m_parts.clock());
    m_timer.once(std::max(wait, minTimerDelay), [self = shared_from_this()] {
        self->m_parts.queue.post([self] { self->guard([&self] { self->onTimer(); }); });
    });
}

void RequestRelay::onTimer()
{
    if (m_isFinished)
        return;
    perform(m_session->check(m_parts.clock()));
}

} // namespace foxtailring
