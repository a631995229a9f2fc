#include "GenerationRunner.h"

#include "foxtailring/entry/AnswerWriter.h"
#include "foxtailring/entry/Problem.h"
#include "foxtailring/protocol/Frame.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http2Stream.h"

#include "AdmissionPass.h"
#include "EntryParts.h"
#include "FrameHooks.h"
#include "GenerationFrames.h"
#include "SidecarLink.h"
#include "SidecarPaths.h"

#include <algorithm>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// How much longer the journal is kept when the caller went away before the end was written.
constexpr int goneCallerFactor = 4;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

GenerationRunner::GenerationRunner(EntryParts &parts, GenerationJob job,
                                   std::unique_ptr<AnswerWriter> writer,
                                   std::shared_ptr<Http1Responder> responder)
    : m_parts(parts)
    , m_job(std::move(job))
    , m_writer(std::move(writer))
    , m_responder(std::move(responder))
    , m_queue(parts.pool)
    , m_timer(parts.pool)
    , m_session(m_job.spec, parts.settings.session)
{
}

GenerationRunner::~GenerationRunner() = default;

void GenerationRunner::start(std::shared_ptr<AdmissionPass> pass)
{
    begin();
    post([this, pass = std::move(pass)](TimePoint now) {
        m_pass = pass;
        return m_session.start(now);
    });
}

void GenerationRunner::attach(std::string address, std::uint32_t attempt)
{
    begin();
    post([this, address = std::move(address), attempt](TimePoint now) {
        m_serverAddress = address;
        return m_session.attach(address, attempt, now);
    });
}

void GenerationRunner::begin()
{
    m_parts.generations.add(shared_from_this());
    const std::weak_ptr<GenerationRunner> weak = weak_from_this();
    m_responder->onDisconnect([weak] {
        if (const auto self = weak.lock())
            self->post([runner = self.get()](TimePoint now) {
                runner->m_callerGone = true;
                return runner->m_session.onCallerGone(now);
            });
    });
}

void GenerationRunner::handOver()
{
    post([this](TimePoint now) {
        if (m_session.isDone())
            return GenerationActions {};
        const std::uint64_t next =
            std::max(m_session.answer().nextOffset(), m_job.spec.callerOffset);
        m_writer->handOver(position(next));
        m_parts.metrics.add("generations_handed_over_total");
        return m_session.onCallerGone(now);
    });
}

void GenerationRunner::post(Event event)
{
    m_queue.post([self = shared_from_this(), event = std::move(event)] {
        self->perform(event(self->m_parts.clock()));
    });
}

void GenerationRunner::perform(const GenerationActions &actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &one) { perform(one); }, action);
    if (m_session.isDone() && !m_ended)
        end();
}

void GenerationRunner::perform(const GenerationAction::Start &action)
{
    m_serverAddress = action.server;
    countWork();
    m_parts.metrics.add("attempts_total");
    if (!action.prefix.empty())
        m_parts.metrics.add("resumed_prefix_tokens_total",
                            static_cast<std::int64_t>(action.prefix.size()));
    const auto start = GenerationFrames::start(m_job, action, m_parts.config.revision(),
                                               m_job.spec.deadline - m_parts.clock());
    openStream(action.server, sidecar_paths::start, action.attempt, encodeMessage(start), false);
    if (!m_job.idempotencyKey.empty())
        m_parts.directory.store(m_job.service,
                                GenerationFrames::record(m_job, action.server, action.attempt));
}

void GenerationRunner::perform(const GenerationAction::Attach &action)
{
    if (action.newConnection)
        noteInterruption();
    m_parts.metrics.add("attaches_total");
    openStream(action.server, sidecar_paths::attach, action.attempt,
               encodeMessage(GenerationFrames::attach(m_job, action)), action.newConnection);
}

void GenerationRunner::openStream(const std::string &server, std::string_view path,
                                  std::uint32_t attempt, const std::string &firstFrame,
                                  bool newConnection)
{
    const std::uint64_t number = ++m_streamNumber;
    const std::uint64_t suspected = m_stream.connection;
    if (m_stream.stream)
        m_stream.stream->reset();
    m_stream = {};
    m_link = m_parts.links.link(server);
    if (!m_link) {
        streamClosed(number, attempt, {ErrorCode::Unavailable, server + " is not IP:PORT"});
        return;
    }
    m_stream = newConnection ? m_link->openAnew(path, suspected) : m_link->open(path);
    m_stream.stream->send(firstFrame);
    const std::weak_ptr<GenerationRunner> weak = weak_from_this();
    FrameHooks::set(m_stream.stream,
                    {[weak](Frame frame) {
                         if (const auto self = weak.lock())
                             self->frameArrived(std::move(frame));
                     },
                     [weak, number, attempt](const Error &error) {
                         if (const auto self = weak.lock())
                             self->streamClosed(number, attempt, error);
                     }});
}

void GenerationRunner::frameArrived(Frame frame)
{
    post([this, frame = std::move(frame)](TimePoint now) {
        return GenerationFrames::event(m_session, frame, now);
    });
}

void GenerationRunner::streamClosed(std::uint64_t stream, std::uint32_t attempt, const Error &error)
{
    post([this, stream, attempt, error](TimePoint now) {
        if (stream != m_streamNumber)
            return GenerationActions {};
        return m_session.onStreamClosed(attempt, error, now);
    });
}

void GenerationRunner::perform(const GenerationAction::Cancel &action)
{
    if (!m_stream.stream)
        return;
    m_stream.stream->send(
        encodeMessage(GenerationFrames::cancel(m_job, action.attempt, action.reason)));
    m_stream.stream->finish();
    // The sidecar may read it much later; until then its tokens are counted and dropped.
    m_parts.lingering.add(std::exchange(m_stream.stream, nullptr));
    ++m_streamNumber;
}

void GenerationRunner::perform(const GenerationAction::Ack &action)
{
    if (m_stream.stream)
        m_stream.stream->send(
            encodeMessage(GenerationFrames::ack(m_job, action.attempt, action.nextOffset, false)));
}

void GenerationRunner::perform(const GenerationAction::Emit &action)
{
    if (m_interruptedAt) {
        m_parts.metrics.observeSeconds("resume_seconds",
                                       secondsBetween(*m_interruptedAt, m_parts.clock()));
        m_interruptedAt.reset();
    }
    m_parts.metrics.add("tokens_total", static_cast<std::int64_t>(action.tokens.size()));
    m_writer->write(position(action.offset + action.tokens.size()), action.tokens);
    if (m_responder->pendingBytes() <= m_parts.settings.callerBufferBytes)
        return;
    m_parts.metrics.add("slow_callers_cut_total");
    m_responder->abort();
    post([this](TimePoint now) { return m_session.onCallerGone(now); });
}

void GenerationRunner::perform(const GenerationAction::Complete &action)
{
    m_writer->complete(action.reason, position(action.totalTokens));
    m_parts.retries.deposit(m_job.service, m_parts.clock());
    m_parts.metrics.add("generations_total{outcome=\"complete\"}");
    if (!m_stream.stream)
        return;
    m_finalAck = GenerationFrames::ack(m_job, action.attempt, action.totalTokens, true);
}

void GenerationRunner::perform(const GenerationAction::Fail &action)
{
    const bool hasTokens = m_session.answer().nextOffset() > 0 || m_job.spec.callerOffset > 0;
    const std::string_view outcome = action.notRun ? Problem::notRun
        : hasTokens                                ? Problem::incomplete
                                                   : Problem::unknown;
    m_writer->fail(
        Problem::of(action.error, outcome, action.retryAfter, m_parts.settings.retryAfter));
    m_parts.metrics.add("generations_total{outcome=\"" + std::string(outcome) + "\"}");
}

void GenerationRunner::perform(const GenerationAction::Detach &)
{
    m_parts.metrics.add("generations_total{outcome=\"detached\"}");
}

void GenerationRunner::perform(const GenerationAction::ScheduleTick &action)
{
    const TimePoint now = m_parts.clock();
    const auto delay = std::chrono::ceil<milliseconds>(std::max(action.at, now) - now);
    const std::weak_ptr<GenerationRunner> weak = weak_from_this();
    m_timer.once(delay, [weak] {
        if (const auto self = weak.lock())
            self->post([runner = self.get()](TimePoint at) { return runner->m_session.tick(at); });
    });
}

void GenerationRunner::countWork()
{
    if (!m_countedId.empty())
        m_parts.servers.endWork(m_countedId);
    m_countedId = m_chosenId;
    if (!m_countedId.empty())
        m_parts.servers.startWork(m_countedId);
}

ResumeToken GenerationRunner::position(std::uint64_t nextOffset) const
{
    return {m_job.spec.requestId,     m_job.account,   m_job.service,
            m_session.attempt(),      m_serverAddress, nextOffset,
            m_job.request.contentHash};
}

void GenerationRunner::noteInterruption()
{
    if (!m_interruptedAt)
        m_interruptedAt = m_parts.clock();
}

void GenerationRunner::end()
{
    m_ended = true;
    m_timer.cancel();
    m_parts.resumes.withdraw(m_resumeTicket);
    m_chosenId.clear();
    countWork();
    m_pass.reset();
    countDropped();
    if (m_stream.stream && m_finalAck)
        return releaseJournal();
    if (m_stream.stream)
        m_stream.stream->reset();
    leaveTable();
}

// The journal is kept for callers that can come back for the answer with their key.
void GenerationRunner::releaseJournal()
{
    if (!m_job.idempotencyKey.empty()) {
        m_finalAck->final = false;
        sendFinalAck();
        return;
    }
    waitForReturn(m_parts.settings.finalAckDelay);
}

void GenerationRunner::waitForReturn(milliseconds delay)
{
    const std::weak_ptr<GenerationRunner> weak = weak_from_this();
    m_timer.once(delay, [weak] {
        if (const auto self = weak.lock())
            self->m_queue.post([self] { self->deliveryTimePassed(); });
    });
}

void GenerationRunner::deliveryTimePassed()
{
    // The caller may have closed its connection at the last event, or lost that event and come
    // back for it.
    if (std::exchange(m_callerGone, false))
        waitForReturn(m_parts.settings.finalAckDelay * goneCallerFactor);
    else
        sendFinalAck();
}

void GenerationRunner::sendFinalAck()
{
    m_stream.stream->send(encodeMessage(*m_finalAck));
    m_stream.stream->finish();
    m_parts.lingering.add(std::exchange(m_stream.stream, nullptr));
    leaveTable();
}

void GenerationRunner::leaveTable()
{
    m_parts.generations.remove(shared_from_this());
}

void GenerationRunner::countDropped()
{
    const DroppedMessageCounts &dropped = m_session.answer().dropped();
    const auto count = [this](std::string_view reason, std::uint64_t amount) {
        if (amount > 0)
            m_parts.metrics.add("token_messages_dropped_total{reason=\"" + std::string(reason)
                                    + "\"}",
                                static_cast<std::int64_t>(amount));
    };
    count("duplicate", dropped.duplicates);
    count("foreignRequest", dropped.foreignRequests);
    count("otherAttempt", dropped.otherAttempts);
    count("gap", dropped.gaps);
    count("mismatch", dropped.mismatches);
}

} // namespace foxtailring
