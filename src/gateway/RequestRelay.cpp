#include "RequestRelay.h"

#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http1Stream.h"
#include "foxtailring/transport/RequestMemory.h"

#include "ForwardSessionFactory.h"
#include "GatewayParts.h"
#include "ServerProbe.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// By then attempts with an oversized answer have been cancelled, which frees their memory.
constexpr milliseconds memoryRetryAfter {500};
constexpr milliseconds minTimerDelay {5};

} // namespace

RequestRelay::RequestRelay(GatewayParts &parts, GatewayRequest request,
                           std::shared_ptr<const RouteTable> table, const HttpRoute &route,
                           std::string account, std::shared_ptr<Http1Responder> responder,
                           TimePoint arrivedAt)
    : m_parts(parts)
    , m_request(std::move(request))
    , m_table(std::move(table))
    , m_route(route)
    , m_arrivedAt(arrivedAt)
    , m_reporter(parts, m_request, *m_table, route, arrivedAt)
    , m_answer(parts.codec, m_request, m_reporter, std::move(responder))
    , m_session(ForwardSessionFactory(*m_table, route)
                    .make(m_request, arrivedAt,
                          parts.forwardContext(m_request.id, parts.admitsRuns(*m_table, route))))
    , m_stream(dynamic_cast<StreamSession *>(m_session.get()))
    , m_sender(parts.http, parts.codec, m_request, route, std::move(account))
    , m_reader(parts.codec, m_request.http.method, m_stream != nullptr)
    , m_memory(m_request.http.memory ? m_request.http.memory : parts.requestMemory.begin())
    , m_timer(parts.pool)
    , m_copyOrders(parts, m_request.id, copyHooks())
{
}

void RequestRelay::start()
{
    m_answer.onDisconnect([self = shared_from_this()] {
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
    m_reporter.reportException(message);
    if (m_isFinished)
        return;
    if (m_answer.hasStarted())
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
    else if (std::holds_alternative<ResumeFallback>(action))
        resumeFallback("noServer");
    else if (const auto *delay = std::get_if<DelayAttempt>(&action))
        delayAttempt(*delay);
    else if (const auto *probe = std::get_if<ProbeServers>(&action))
        probeServers(*probe);
    else if (const auto *command = std::get_if<CopyRun>(&action))
        m_copyOrders.send(*command, weak_from_this());
    else if (const auto *pass = std::get_if<PassAnswer>(&action))
        forwardAnswer(*pass);
    else if (const auto *refusal = std::get_if<Refuse>(&action))
        refuse(*refusal);
    else if (const auto *reason = std::get_if<AbortAnswer>(&action))
        abortAnswer(*reason);
    updateFallback();
    armTimer();
}

void RequestRelay::send(const SendAttempt &next)
{
    if (next.keepsLatest)
        m_attempts.keepCurrent();
    m_attempts.endCurrent();
    const auto endpoint = Endpoint::parse(next.server.info.address);
    if (!endpoint)
        return perform(m_session->onAttemptEnded(AttemptResult::NotSent, m_parts.clock()));
    ServerAttempt &attempt = m_attempts.begin(next.server.info.id, endpoint.value());
    attempt.isFromCopy = next.fromCopy.has_value();
    attempt.isSecond = next.cause == SendAttempt::slowCause;
    if (!m_stream && m_attempts.count() == 1)
        m_parts.answerTimes.begin(m_route.name, m_arrivedAt);
    m_reporter.reportAttempt(next, m_attempts.count());
    const auto post = attemptPoster(attempt.number);
    StreamHooks hooks;
    hooks.onHead = [self = shared_from_this(), number = attempt.number,
                    info = next.server.info](const HttpResponse &response) {
        self->m_parts.queue.post([self, number, info, response] {
            if (!self->m_isFinished && self->m_attempts.isCurrent(number))
                self->onHead(response);
            else if (!self->m_isFinished && self->m_attempts.isFallback(number))
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
    attempt.stream = m_sender.send(next, endpoint.value(), std::move(hooks));
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

CopyOrderSender::Hooks RequestRelay::copyHooks()
{
    return {[this](const CopyRun &command, std::optional<std::string> handle) {
                perform(m_stream->onCopied(command, std::move(handle), m_parts.clock()));
            },
            [this](const CopyRun &command, std::string handle) {
                m_stream->onLateCopy(command, std::move(handle));
            },
            [this](std::string_view message) { onException(message); }};
}

void RequestRelay::onProbeResults(std::span<const ServerProbeResult> results)
{
    m_reporter.reportProbe(results, m_attempts.current().number,
                           m_stream->lastEventId().value_or(0));
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
                if (self->m_attempts.isCurrent(number))
                    self->guard([&self, &task] { task(*self); });
                else if (self->m_attempts.isFallback(number))
                    self->guard([&self, &fallbackTask] { fallbackTask(*self); });
            });
    };
}

void RequestRelay::recordHead(ServerAttempt &attempt, HttpResponse head)
{
    m_reader.readHead(attempt, std::move(head));
    if (attempt.answer.namesRateLimit)
        m_reporter.reportRateLimit(attempt);
    if (attempt.answer.load.unreadableCount > 0)
        m_reporter.reportUnreadableLoad(attempt);
}

void RequestRelay::onFallbackHead(HttpResponse head)
{
    recordHead(m_attempts.fallback(), std::move(head));
    m_session->onFallbackHead(m_attempts.fallback().answer, m_parts.clock());
}

void RequestRelay::onFallbackBody(std::string_view bytes)
{
    if (m_attempts.fallback().isStreaming)
        return onFallbackEvents(bytes);
    if (!AnswerReader::readBody(m_attempts.fallback(), bytes) || !updateHeldMemory("answer"))
        endFallback(AttemptResult::Invalid);
}

// The events are collected first, since the fallback is moved when it becomes the current attempt.
void RequestRelay::onFallbackEvents(std::string_view bytes)
{
    const auto events = AnswerReader::readEvents(m_attempts.fallback(), bytes);
    if (!events || !updateHeldMemory("stream"))
        return endFallback(AttemptResult::Invalid);
    const std::uint64_t number = m_attempts.fallback().number;
    for (const StreamedEvent &event : *events) {
        const bool isWaiting = m_attempts.isFallback(number);
        if (isWaiting && (!event.id || m_stream->isFallbackBeyondGap(*event.id)))
            return endFallback(AttemptResult::Invalid);
        if (isWaiting && m_stream->onFallbackEvent(*event.id, m_parts.clock()))
            resumeFallback("event");
        if (isOpen(number))
            onEvent(event.id, event.text);
    }
    armTimer();
}

void RequestRelay::onFallbackClosed(const Result<Done> &result)
{
    m_attempts.fallback().stream.reset();
    if (!result)
        return endFallback(recordConnectionError(m_attempts.fallback(), result.error()));
    if (m_reader.isCutShort(m_attempts.fallback()))
        return endFallback(AttemptResult::Lost);
    if (m_attempts.fallback().isStreaming) {
        if (!m_stream->onFallbackFinished(m_parts.clock()))
            return endFallback(AttemptResult::Lost);
        resumeFallback("end");
        return onClosed(result);
    }
    perform(m_session->onFallbackAnswer(m_attempts.fallback().answer, m_parts.clock()));
    m_attempts.endFallback();
}

void RequestRelay::endFallback(AttemptResult result)
{
    m_reporter.reportFailure(m_attempts.fallback(), result);
    m_attempts.endFallback();
    perform(m_session->onFallbackEnded(result, m_parts.clock()));
}

void RequestRelay::resumeFallback(std::string_view cause)
{
    m_attempts.resumeFallback();
    m_reporter.reportFallbackResumed(m_attempts.current(), cause);
}

// Its server must not work on the run beside that of the next attempt.
void RequestRelay::delayAttempt(const DelayAttempt &delay)
{
    m_attempts.endCurrent();
    m_reporter.reportDelay(delay, m_session->service());
}

void RequestRelay::updateFallback()
{
    if (!m_isFinished && m_attempts.hasFallback() && !m_session->hasFallback())
        m_attempts.endFallback();
}

void RequestRelay::onHead(HttpResponse head)
{
    recordHead(m_attempts.current(), std::move(head));
    m_session->onHead(m_attempts.current().answer, m_parts.clock());
}

void RequestRelay::onBody(std::string_view bytes)
{
    if (!m_attempts.current().isStreaming) {
        if (!AnswerReader::readBody(m_attempts.current(), bytes) || !updateHeldMemory("answer"))
            endAttempt(AttemptResult::Invalid);
        return;
    }
    onEvents(bytes);
}

// The events are collected first: an event may end the attempt, and another one, with its own
// reader and unread bytes, is the current one then.
void RequestRelay::onEvents(std::string_view bytes)
{
    const std::uint64_t number = m_attempts.current().number;
    const auto events = AnswerReader::readEvents(m_attempts.current(), bytes);
    if (!events)
        return endAttempt(AttemptResult::Invalid);
    for (const StreamedEvent &event : *events) {
        if (isOpen(number))
            onEvent(event.id, event.text);
    }
    if (!isOpen(number))
        return;
    if (!updateHeldMemory("stream"))
        return m_answer.pendingBytes() > m_attempts.pendingBytes()
            ? giveUpSlowCaller()
            : endAttempt(AttemptResult::Invalid);
    if (m_attempts.current().events.hasPartialEvent())
        m_stream->onPartialEvent(m_parts.clock());
}

bool RequestRelay::isOpen(std::uint64_t number) const
{
    return !m_isFinished && m_attempts.isCurrent(number);
}

bool RequestRelay::updateHeldMemory(std::string_view what)
{
    const std::size_t bytes =
        m_request.http.body.size() + m_attempts.pendingBytes() + m_answer.pendingBytes();
    updateSlowCaller();
    do {
        if (m_memory->tryResize(bytes))
            return true;
    } while (m_parts.settings.limitsPeerMemory && m_parts.slowCallers.endSlowest(m_slowCallerId));
    m_reporter.reportOverBudget(what, m_attempts.current().serverId, bytes);
    return false;
}

void RequestRelay::updateSlowCaller()
{
    if (!m_parts.settings.limitsPeerMemory || !m_answer.hasStarted() || m_isFinished)
        return;
    if (m_slowCallerId == 0)
        m_slowCallerId = m_parts.slowCallers.add([self = weak_from_this()] {
            if (const auto relay = self.lock())
                relay->giveUpSlowCaller();
        });
    const std::size_t unread = m_answer.pendingBytes();
    m_parts.slowCallers.update(m_slowCallerId, m_answer.passedBytes() - unread, unread,
                               m_parts.clock());
}

// The server has not failed. The connection drops what is unread in a moment.
void RequestRelay::giveUpSlowCaller()
{
    if (m_isFinished)
        return;
    abortAnswer({"callerReadsTooSlowly"});
    m_memory->tryResize(0);
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
    updateFallback();
    if (!m_answer.passEvent(m_attempts.current(), text, now))
        abortAnswer({"callerReadsTooSlowly"});
}

void RequestRelay::onClosed(const Result<Done> &result)
{
    m_attempts.current().stream.reset();
    if (!result)
        return endAttempt(recordConnectionError(m_attempts.current(), result.error()));
    if (m_reader.isCutShort(m_attempts.current()))
        return endAttempt(AttemptResult::Lost);
    if (m_attempts.current().isStreaming)
        return onStreamEnd();
    perform(m_session->onAnswer(m_attempts.current().answer, m_parts.clock()));
}

// A server at its limit of connections resets one before it answers, which looks like the end of
// the server.
AttemptResult RequestRelay::recordConnectionError(const ServerAttempt &attempt, const Error &error)
{
    const bool isCut = error.code == ErrorCode::Unavailable || error.code == ErrorCode::Closed;
    if (isCut && !attempt.hasHead)
        m_parts.onConnectionFailed(attempt.serverId, attempt.endpoint);
    return AnswerReader::failureOf(error);
}

void RequestRelay::onStreamEnd()
{
    if (!m_stream->confirmEnd())
        return endAttempt(AttemptResult::Lost);
    m_answer.startStream(m_attempts.current());
    perform(m_stream->onFinished(m_parts.clock()));
    m_answer.finishStream();
    finish("served", "", m_attempts.current().answer.status);
}

// Its server may send on while the next one is looked for, or while the session waits for the
// fallback. Nothing of that may be passed on or held.
void RequestRelay::endAttempt(AttemptResult result)
{
    m_reporter.reportFailure(m_attempts.current(), result);
    m_attempts.dropCurrent();
    perform(m_session->onAttemptEnded(result, m_parts.clock()));
}

void RequestRelay::forwardAnswer(const PassAnswer &pass)
{
    if (m_attempts.current().isSecond)
        m_reporter.reportSecondAttempt(pass.isFallback ? "first" : "second");
    if (pass.isFallback)
        m_attempts.resumeFallback();
    m_answer.respond(m_attempts.current());
    finish(m_attempts.current().answer.isSuccess() ? "served" : "serverFailed", "",
           m_attempts.current().answer.status);
}

void RequestRelay::refuse(const Refuse &refusal)
{
    m_attempts.endCurrent();
    m_answer.refuse(refusal);
    finish("refused", refusal.cause, refusal.status);
}

void RequestRelay::abortAnswer(const AbortAnswer &reason)
{
    m_attempts.endCurrent();
    m_answer.abort();
    finish("cut", reason.cause, 0);
}

void RequestRelay::onCallerDisconnect()
{
    if (m_isFinished)
        return;
    m_attempts.endCurrent();
    finish("callerLeft", "", 0);
}

void RequestRelay::finish(std::string_view outcome, std::string_view cause, int status)
{
    m_isFinished = true;
    m_parts.slowCallers.remove(m_slowCallerId);
    m_copyOrders.end();
    m_attempts.endFallback();
    m_timer.cancel();
    if (m_stream)
        m_stream->endCopies();
    // To the caller, 503 means that no server has executed the request.
    if (!m_stream && m_attempts.count() > 0)
        m_parts.answerTimes.end(m_route.name, m_arrivedAt, status != 503, m_parts.clock());
    m_reporter.reportEnd({outcome, cause, status}, m_attempts.current().serverId,
                         m_attempts.count());
}

// The timer is set for the earliest time limit, and never put off: what arrives all the time would
// keep it from firing. If events have moved that limit by then, check() does nothing and the timer
// is set again.
void RequestRelay::armTimer()
{
    if (m_isFinished)
        return;
    const TimePoint now = m_parts.clock();
    const TimePoint at = std::max(m_session->nextCheck(), now + minTimerDelay);
    if (m_timerAt <= at)
        return;
    m_timerAt = at;
    m_timer.once(std::chrono::ceil<milliseconds>(at - now), [self = shared_from_this()] {
        self->m_parts.queue.post([self] { self->guard([&self] { self->onTimer(); }); });
    });
}

void RequestRelay::onTimer()
{
    m_timerAt = TimePoint::max();
    if (m_isFinished)
        return;
    perform(m_session->check(m_parts.clock()));
}

} // namespace foxtailring
