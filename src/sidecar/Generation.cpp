#include "foxtailring/sidecar/Generation.h"

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/decisions/generation/Journal.h"
#include "foxtailring/protocol/Ack.h"
#include "foxtailring/protocol/Cancel.h"
#include "foxtailring/protocol/Frame.h"
#include "foxtailring/sidecar/GenerationListener.h"
#include "foxtailring/sidecar/MessageStream.h"
#include "foxtailring/sidecar/SidecarSettings.h"
#include "foxtailring/sidecar/Tracer.h"
#include "foxtailring/sidecar/WorkTicket.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/Http1Stream.h"

#include <algorithm>
#include <limits>

namespace foxtailring {

namespace {

// Enough of an engine's error body to name the cause.
constexpr std::size_t maxErrorBody = 1024;
// An entry that re-attaches leaves its old stream behind; more than this is a fault.
constexpr std::size_t maxListeners = 4;
constexpr int statusOk = 200;

TimePoint deadlineOf(const StartAttempt &start, TimePoint now)
{
    return start.deadlineMs == 0 ? TimePoint::max()
                                 : now + std::chrono::milliseconds(start.deadlineMs);
}

ErrorCode codeOfStatus(int status)
{
    switch (status) {
    case 400:
    case 422:
        return ErrorCode::InvalidArgument;
    case 404:
        return ErrorCode::NotFound;
    case 429:
    case 503:
        return ErrorCode::Overloaded;
    default:
        return ErrorCode::EngineFailed;
    }
}

std::string endedSeries(bool finished, ErrorCode code)
{
    const std::string_view outcome = finished ? "finished" : errorCodeName(code);
    return "sidecar_generations_ended_total{outcome=\"" + std::string(outcome) + "\"}";
}

} // namespace

Generation::Generation(const SidecarContext &context, std::shared_ptr<Journal> journal,
                       const StartAttempt &start, Work work)
    : m_context(context)
    , m_journal(std::move(journal))
    , m_id {start.requestId, start.attempt}
    , m_startedAt(context.clock())
    , m_deadline(deadlineOf(start, m_startedAt))
    , m_work(std::move(work))
    , m_detachedAt(m_startedAt)
    , m_lastToken(m_startedAt)
{
}

Generation::~Generation() = default;

bool Generation::hasEnded() const
{
    const std::lock_guard lock(m_mutex);
    return m_ended;
}

void Generation::run()
{
    StreamHooks hooks;
    hooks.onHead = [self = shared_from_this()](const HttpResponse &head) {
        self->engineHead(head);
    };
    hooks.onBody = [self = shared_from_this()](std::string_view bytes) {
        self->engineBytes(bytes);
    };
    hooks.onClosed = [self = shared_from_this()](const Result<Done> &result) {
        self->engineClosed(result);
    };
    HttpRequest request;
    {
        const std::lock_guard lock(m_mutex);
        request = std::move(m_work.request);
    }
    auto stream = m_context.backend->stream(m_context.settings->backend, std::move(request),
                                            std::move(hooks));
    {
        const std::lock_guard lock(m_mutex);
        if (!m_ended)
            m_engine.swap(stream);
    }
    // Stopped before the stream was known here.
    if (stream)
        stream->cancel();
}

void Generation::finish(const std::string &reason)
{
    end(true, {}, reason);
}

void Generation::stop(ErrorCode code, const std::string &message)
{
    end(false, code, message);
}

void Generation::end(bool finished, ErrorCode code, const std::string &reason)
{
    std::shared_ptr<Http1Stream> engine;
    Work work;
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_ended, true))
            return;
        engine.swap(m_engine);
        work = std::exchange(m_work, {});
        m_journal->end(m_id, AttemptEnd {finished, 0, reason, code}, m_context.clock());
    }
    if (engine)
        engine->cancel();
    m_context.metrics->add(endedSeries(finished, code));
    m_context.tracer->finish(std::move(work.span), finished ? "done" : errorCodeName(code));
    pumpAll();
}

void Generation::engineHead(const HttpResponse &head)
{
    m_engineStatus = head.status;
}

void Generation::engineBytes(std::string_view bytes)
{
    if (m_engineStatus != statusOk) {
        m_errorBody += bytes.substr(0, maxErrorBody - std::min(maxErrorBody, m_errorBody.size()));
        return;
    }
    const auto chunks = m_reader.feed(bytes);
    if (!chunks)
        return stop(chunks.error().code, chunks.error().message);
    for (const CompletionChunk &chunk : chunks.value())
        takeChunk(chunk);
}

void Generation::takeChunk(const CompletionChunk &chunk)
{
    if (!chunk.tokens.empty()) {
        const std::lock_guard lock(m_mutex);
        if (m_ended || !m_journal->append(m_id, chunk.tokens)) {
            m_context.metrics->add("sidecar_late_tokens_total",
                                   static_cast<std::int64_t>(chunk.tokens.size()));
            return;
        }
        m_lastToken = m_context.clock();
        if (!std::exchange(m_hasToken, true))
            m_context.metrics->observeSeconds(
                "sidecar_first_token_seconds",
                std::chrono::duration<double>(m_lastToken - m_startedAt).count());
    }
    m_context.metrics->add("sidecar_tokens_total", static_cast<std::int64_t>(chunk.tokens.size()));
    if (!chunk.finishReason.empty())
        return finish(chunk.finishReason);
    pumpAll();
}

void Generation::engineClosed(const Result<Done> &result)
{
    if (m_engineStatus != 0 && m_engineStatus != statusOk)
        return stop(codeOfStatus(m_engineStatus),
                    "engine answered " + std::to_string(m_engineStatus) + ": " + m_errorBody);
    if (!result)
        return stop(ErrorCode::EngineFailed, "engine: " + result.error().message);
    stop(ErrorCode::EngineFailed, "engine ended the stream without a finish reason");
}

void Generation::attach(const std::shared_ptr<MessageStream> &stream, std::uint64_t fromOffset)
{
    const auto listener = std::make_shared<GenerationListener>(m_journal, m_id, stream, fromOffset);
    std::shared_ptr<GenerationListener> dropped;
    {
        const std::lock_guard lock(m_mutex);
        m_listeners.push_back(listener);
        if (m_listeners.size() > maxListeners) {
            dropped = m_listeners.front();
            m_listeners.erase(m_listeners.begin());
        }
    }
    if (dropped)
        dropped->reset();
    stream->onClosed([self = shared_from_this(), weak = std::weak_ptr(listener)] {
        if (const auto locked = weak.lock())
            self->detach(locked);
    });
    stream->onFrame([self = shared_from_this(), weak = std::weak_ptr(listener)](
                        const std::shared_ptr<MessageStream> &, const Frame &frame) {
        if (const auto locked = weak.lock())
            self->takeFrame(locked, frame);
    });
    listener->pump(m_context.clock());
}

void Generation::detach(const std::shared_ptr<GenerationListener> &listener)
{
    const std::lock_guard lock(m_mutex);
    if (std::erase(m_listeners, listener) > 0 && m_listeners.empty())
        m_detachedAt = m_context.clock();
}

void Generation::takeFrame(const std::shared_ptr<GenerationListener> &listener, const Frame &frame)
{
    const auto isThis = [this](const auto &message) {
        return message && message.value().requestId == m_id.requestId
            && message.value().attempt == m_id.attempt;
    };
    if (frame.type == MessageType::Ack) {
        if (const auto ack = decodeMessage<Ack>(frame); isThis(ack))
            acknowledge(*listener, ack.value());
    } else if (frame.type == MessageType::Cancel) {
        if (const auto message = decodeMessage<Cancel>(frame); isThis(message))
            cancel(listener, message.value().reason);
    }
}

void Generation::acknowledge(GenerationListener &listener, const Ack &ack)
{
    listener.acknowledged(ack.nextOffset, m_context.clock());
    m_journal->acknowledge(m_id, ack.nextOffset, ack.final);
}

// While another entry follows the attempt, as after a caller came back through it, a Cancel only
// ends this entry's interest.
void Generation::cancel(const std::shared_ptr<GenerationListener> &listener,
                        const std::string &reason)
{
    const Listeners present = listeners();
    const bool isOnly = std::all_of(present.begin(), present.end(),
                                    [&](const auto &other) { return other == listener; });
    if (!isOnly) {
        detach(listener);
        return listener->reset();
    }
    stop(ErrorCode::Closed, "cancelled by the entry: " + reason);
    // Nobody waits for the tokens, so a shutdown need not wait for their acknowledgement.
    m_journal->acknowledge(m_id, std::numeric_limits<std::uint64_t>::max(), false);
}

void Generation::tick(TimePoint now)
{
    for (const auto &listener : listeners()) {
        listener->pump(now);
        if (!listener->isStuck(now, m_context.settings->ackTimeout))
            continue;
        m_context.metrics->add("sidecar_stuck_listeners_total");
        detach(listener);
        listener->reset();
    }
    bool isDetached = false;
    {
        const std::lock_guard lock(m_mutex);
        isDetached =
            m_listeners.empty() && now - m_detachedAt >= m_context.settings->detachedTimeout;
    }
    if (now >= m_deadline)
        stop(ErrorCode::Timeout, "the caller's deadline has passed");
    else if (isDetached)
        stop(ErrorCode::Closed, "no entry is attached");
}

bool Generation::isQuietSince(TimePoint since) const
{
    const std::lock_guard lock(m_mutex);
    return !m_ended && m_lastToken <= since;
}

void Generation::reportProgress(bool engineHasQueue)
{
    Phase phase = Phase::Prefill;
    {
        const std::lock_guard lock(m_mutex);
        if (m_ended)
            return;
        if (m_hasToken)
            phase = Phase::Decode;
        else if (engineHasQueue)
            phase = Phase::Queued;
    }
    for (const auto &listener : listeners())
        listener->progress(phase, m_context.clock());
}

Generation::Listeners Generation::listeners() const
{
    const std::lock_guard lock(m_mutex);
    return m_listeners;
}

void Generation::pumpAll()
{
    for (const auto &listener : listeners())
        listener->pump(m_context.clock());
}

} // namespace foxtailring
