#include "foxtailring/sidecar/GenerationService.h"

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/decisions/generation/Journal.h"
#include "foxtailring/decisions/membership/DrainState.h"
#include "foxtailring/protocol/Accepted.h"
#include "foxtailring/protocol/Attach.h"
#include "foxtailring/protocol/Refused.h"
#include "foxtailring/sidecar/EngineProbe.h"
#include "foxtailring/sidecar/EngineRequest.h"
#include "foxtailring/sidecar/Generation.h"
#include "foxtailring/sidecar/LoadMonitor.h"
#include "foxtailring/sidecar/MessageStream.h"
#include "foxtailring/sidecar/RetryAdvice.h"
#include "foxtailring/sidecar/SidecarSettings.h"
#include "foxtailring/sidecar/Tracer.h"
#include "foxtailring/sidecar/WorkGate.h"

#include <algorithm>

namespace foxtailring {

namespace {

constexpr std::chrono::milliseconds sweepInterval {1'000};

Journal::Limits journalLimits(const SidecarSettings &settings)
{
    return {settings.journalRetention, settings.journalBytes};
}

AttemptId idOf(const auto &message)
{
    return {message.requestId, message.attempt};
}

bool isComplete(const StartAttempt &start)
{
    return start.maxTokens > 0 && start.prefix.size() >= start.maxTokens;
}

} // namespace

GenerationService::GenerationService(const SidecarContext &context)
    : m_context(context)
    , m_journal(std::make_shared<Journal>(journalLimits(*context.settings)))
    , m_probe(std::make_shared<EngineProbe>(context))
    , m_tickTimer(context.pool)
    , m_sweepTimer(context.pool)
    , m_fences(context.settings->fenceAge)
{
}

GenerationService::~GenerationService() = default;

void GenerationService::start()
{
    m_tickTimer.every(m_context.settings->progressInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->tick();
    });
    m_sweepTimer.every(sweepInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->sweep();
    });
}

void GenerationService::stop()
{
    m_tickTimer.cancel();
    m_sweepTimer.cancel();
    for (const auto &generation : all())
        generation->stop(ErrorCode::Closed, "the server exits");
}

void GenerationService::openStart(const std::shared_ptr<Http2Stream> &stream)
{
    MessageStream::open(stream,
                        [self = shared_from_this()](const Stream &opened, const Frame &frame) {
                            self->takeStart(opened, frame);
                        });
}

void GenerationService::openAttach(const std::shared_ptr<Http2Stream> &stream)
{
    MessageStream::open(stream,
                        [self = shared_from_this()](const Stream &opened, const Frame &frame) {
                            self->takeAttach(opened, frame);
                        });
}

void GenerationService::takeStart(const Stream &stream, const Frame &frame)
{
    stream->onFrame(nullptr);
    const auto start = decodeMessage<StartAttempt>(frame);
    if (!start)
        return refuse(stream, {}, {ErrorCode::InvalidArgument, start.error().message});
    const auto generation = admit(start.value());
    if (!generation)
        return refuse(stream, idOf(start.value()), generation.error());
    accept(stream, generation.value()->id());
    generation.value()->attach(stream, start.value().prefix.size());
    if (isComplete(start.value()))
        generation.value()->finish("length");
    else
        generation.value()->run();
}

Result<std::shared_ptr<Generation>> GenerationService::admit(const StartAttempt &start)
{
    if (const auto ok = check(start); !ok)
        return ok.error();
    const auto ticket = m_context.gate->admit();
    if (!ticket)
        return ticket.error();
    Span span = m_context.tracer->start("sidecar.generation", start.traceparent);
    auto request = engineRequest(start, span.context.toHeader());
    if (!request)
        return request.error();
    return insert(start,
                  std::make_shared<Generation>(
                      m_context, m_journal, start,
                      Generation::Work {std::move(request).value(), ticket.value(), span}));
}

Result<Done> GenerationService::check(const StartAttempt &start) const
{
    if (start.service != m_context.settings->service)
        return Error {ErrorCode::InvalidArgument,
                      "this server serves " + m_context.settings->service + ", not "
                          + start.service};
    if (m_journal->isFull())
        return Error {ErrorCode::Overloaded, "the journal is full"};
    const std::lock_guard lock(m_mutex);
    return m_fences.check(idOf(start));
}

// The fence decides; the fence and the table change together, so the table holds the newest
// attempt.
Result<std::shared_ptr<Generation>>
GenerationService::insert(const StartAttempt &start, const std::shared_ptr<Generation> &generation)
{
    std::shared_ptr<Generation> older;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto admitted = m_fences.admit(generation->id(), m_context.clock()); !admitted)
            return admitted.error();
        if (const auto opened = m_journal->open(generation->id(), start.account, start.prefix);
            !opened)
            return opened.error();
        older = std::exchange(m_latest[start.requestId], generation);
    }
    if (older)
        older->stop(ErrorCode::Stale, "replaced by attempt " + std::to_string(start.attempt));
    return generation;
}

void GenerationService::takeAttach(const Stream &stream, const Frame &frame)
{
    stream->onFrame(nullptr);
    const auto attach = decodeMessage<Attach>(frame);
    if (!attach)
        return refuse(stream, {}, {ErrorCode::InvalidArgument, attach.error().message});
    const auto generation = find(attach.value());
    if (!generation)
        return refuse(stream, idOf(attach.value()), generation.error());
    m_context.metrics->add("sidecar_attached_total");
    accept(stream, generation.value()->id());
    generation.value()->attach(stream, attach.value().fromOffset);
}

Result<std::shared_ptr<Generation>> GenerationService::find(const Attach &attach)
{
    if (const auto admitted = m_context.drain->admitAttach(); !admitted)
        return admitted.error();
    const AttemptId id = idOf(attach);
    const std::lock_guard lock(m_mutex);
    if (const auto fresh = m_fences.check(id); !fresh)
        return fresh.error();
    if (const auto allowed = m_journal->checkAttach(id, attach.account, attach.fromOffset);
        !allowed)
        return allowed.error();
    const auto found = m_latest.find(attach.requestId);
    if (found == m_latest.end())
        return Error {ErrorCode::NotFound, "the attempt is not known here"};
    return found->second;
}

void GenerationService::accept(const Stream &stream, const AttemptId &id)
{
    stream->send(
        Accepted {id.requestId, id.attempt, m_context.settings->nodeId, m_context.incarnation});
}

void GenerationService::refuse(const Stream &stream, const AttemptId &id, const Error &error)
{
    const std::string code(errorCodeName(error.code));
    m_context.metrics->add("sidecar_generations_refused_total{code=\"" + code + "\"}");
    stream->sendLast(Refused {id.requestId, id.attempt, error.code, error.message,
                              retryAdviceMs(*m_context.settings, error.code)});
}

void GenerationService::tick()
{
    const TimePoint now = m_context.clock();
    const Generations present = all();
    for (const auto &generation : present)
        generation->tick(now);
    const TimePoint quietSince = now - m_context.settings->progressInterval;
    const bool isQuiet = std::any_of(present.begin(), present.end(), [&](const auto &generation) {
        return generation->isQuietSince(quietSince);
    });
    if (!isQuiet)
        return;
    m_probe->ask([weak = weak_from_this()](TimePoint sentAt, const Result<Done> &result) {
        if (const auto self = weak.lock())
            self->probed(sentAt, result);
    });
}

void GenerationService::probed(TimePoint sentAt, const Result<Done> &result)
{
    const TimePoint quietSince = m_context.clock() - m_context.settings->progressInterval;
    const bool hasQueue = m_context.load->load().waiting > 0;
    for (const auto &generation : all()) {
        if (result && generation->isQuietSince(quietSince))
            generation->reportProgress(hasQueue);
        else if (!result && generation->isQuietSince(sentAt))
            generation->stop(result.error().code, result.error().message);
    }
}

void GenerationService::sweep()
{
    const TimePoint now = m_context.clock();
    m_journal->expire(now);
    {
        const std::lock_guard lock(m_mutex);
        m_fences.expire(now);
        std::erase_if(m_latest, [this](const auto &entry) {
            return entry.second->hasEnded() && !m_journal->contains(entry.second->id());
        });
    }
    publishCounts();
}

void GenerationService::publishCounts() const
{
    MetricRegistry &metrics = *m_context.metrics;
    metrics.setGauge("sidecar_journal_bytes", static_cast<double>(m_journal->bytes()));
    metrics.setGauge("sidecar_journal_attempts", static_cast<double>(m_journal->attemptCount()));
    metrics.setGauge("sidecar_journal_evicted_tokens",
                     static_cast<double>(m_journal->evictedTokens()));
    metrics.setGauge("sidecar_work_in_progress",
                     static_cast<double>(m_context.drain->workInProgress()));
}

std::size_t GenerationService::unacknowledged() const
{
    return m_journal->unacknowledgedCount();
}

GenerationService::Generations GenerationService::all() const
{
    const std::lock_guard lock(m_mutex);
    Generations present;
    for (const auto &[request, generation] : m_latest)
        present.push_back(generation);
    return present;
}

} // namespace foxtailring
