#include "FakeSidecar.h"

#include "foxtailring/protocol/Accepted.h"
#include "foxtailring/protocol/ConfigAck.h"
#include "foxtailring/protocol/ConfigUpdate.h"
#include "foxtailring/protocol/Failed.h"
#include "foxtailring/protocol/FindGeneration.h"
#include "foxtailring/protocol/Finished.h"
#include "foxtailring/protocol/LoadReport.h"
#include "foxtailring/protocol/Refused.h"
#include "foxtailring/protocol/Tokens.h"
#include "foxtailring/transport/Endpoint.h"

#include <cppunit/TestAssert.h>

namespace foxtailring::test {

namespace {

constexpr std::chrono::seconds waitWithin {20};
constexpr std::chrono::milliseconds reportInterval {100};

} // namespace

FakeSidecar::FakeSidecar(std::string id, std::string service)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_pool(1)
    , m_server(std::make_unique<Http2Server>(m_pool, Endpoint {"127.0.0.1", 0},
                                             [this](const Stream &stream) { opened(stream); }))
    , m_timer(m_pool)
{
    const auto port = m_server->listen();
    CPPUNIT_ASSERT(port.isOk());
    m_port = port.value();
    m_timer.every(reportInterval, [this] {
        const std::lock_guard lock(m_mutex);
        for (const Stream &stream : m_watchers)
            report(stream);
    });
}

FakeSidecar::~FakeSidecar()
{
    die();
    m_pool.stop();
}

void FakeSidecar::setScript(Script script)
{
    const std::lock_guard lock(m_mutex);
    m_script = script;
}

void FakeSidecar::setCallHook(CallHook hook)
{
    const std::lock_guard lock(m_mutex);
    m_callHook = std::move(hook);
}

void FakeSidecar::die()
{
    m_timer.cancel();
    m_server->close();
}

bool FakeSidecar::wait(const std::function<bool()> &done)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, waitWithin, done);
}

void FakeSidecar::opened(const Stream &stream)
{
    const auto reader = std::make_shared<FrameReader>();
    const std::weak_ptr<Http2Stream> weak = stream;
    stream->onData([this, reader, weak](std::string_view bytes) {
        const auto frames = reader->feed(bytes);
        const Stream locked = weak.lock();
        if (!frames || !locked)
            return;
        const std::lock_guard lock(m_mutex);
        for (const Frame &frame : frames.value())
            received(locked, frame);
        m_changed.notify_all();
    });
}

void FakeSidecar::received(const Stream &stream, const Frame &frame)
{
    switch (frame.type) {
    case MessageType::StartAttempt:
        return started(stream, decodeMessage<StartAttempt>(frame).value());
    case MessageType::Attach:
        return attached(stream, decodeMessage<Attach>(frame).value());
    case MessageType::Cancel:
        cancels.push_back(decodeMessage<Cancel>(frame).value());
        return;
    case MessageType::Ack:
        acks.push_back(decodeMessage<Ack>(frame).value());
        return;
    case MessageType::Call:
        return called(stream, decodeMessage<Call>(frame).value());
    case MessageType::FindGeneration:
        return found(stream, frame);
    case MessageType::GenerationRecord: {
        const auto record = decodeMessage<GenerationRecord>(frame).value();
        records[record.idempotencyKey] = record;
        return stream->finish();
    }
    case MessageType::WatchReports:
        m_watchers.push_back(stream);
        return report(stream);
    case MessageType::ConfigUpdate:
        ++configUpdates;
        configRevision = decodeMessage<ConfigUpdate>(frame).value().revision;
        configEpoch = decodeMessage<ConfigUpdate>(frame).value().epoch;
        return stream->send(encodeMessage(ConfigAck {m_id, configRevision, configEpoch}));
    default:
        return;
    }
}

std::vector<Token> FakeSidecar::answer(const StartAttempt &start, const std::string &newTag)
{
    std::vector<Token> tokens = start.prefix;
    const std::string tag =
        tokens.empty() ? newTag : tokens.back().text.substr(0, tokens.back().text.find('.'));
    while (tokens.size() < start.maxTokens)
        tokens.push_back(Token {static_cast<std::int64_t>(tokens.size()),
                                tag + '.' + std::to_string(tokens.size()) + ' '});
    return tokens;
}

void FakeSidecar::started(const Stream &stream, const StartAttempt &start)
{
    starts.push_back(start);
    const std::string &request = start.requestId;
    const std::uint32_t number = start.attempt;
    if (m_script.fault == Fault::Refuse) {
        stream->send(encodeMessage(Refused {request, number, ErrorCode::Draining, "drains", 0}));
        return stream->finish();
    }
    Attempt &attempt = m_attempts[{request, number}];
    attempt.tokens = answer(start, m_id + std::to_string(number));
    attempt.start = start;
    stream->send(encodeMessage(Accepted {request, number, m_id, 1}));
    const auto prefix = static_cast<std::ptrdiff_t>(start.prefix.size());
    const auto all = static_cast<std::ptrdiff_t>(attempt.tokens.size());
    const auto sent = m_script.fault == Fault::None
        ? all
        : std::min(all, static_cast<std::ptrdiff_t>(m_script.faultAt));
    const auto first = attempt.tokens.begin();
    if (sent > prefix)
        stream->send(encodeMessage(
            Tokens {request, number, start.prefix.size(), {first + prefix, first + sent}}));
    if (m_script.fault == Fault::None) {
        stream->send(encodeMessage(Finished {request, number, attempt.tokens.size(), "length"}));
        stream->finish();
    } else if (m_script.fault == Fault::Fail) {
        stream->send(encodeMessage(Failed {request, number, static_cast<std::uint64_t>(sent),
                                           ErrorCode::EngineFailed, "engine reset"}));
        stream->finish();
    } else if (m_script.fault == Fault::Cut) {
        m_cut.push_back(stream);
    }
}

void FakeSidecar::attached(const Stream &stream, const Attach &attach)
{
    attaches.push_back(attach);
    if (m_script.silentAttach)
        return;
    const auto found = m_attempts.find({attach.requestId, attach.attempt});
    if (m_script.journalGone || found == m_attempts.end()) {
        stream->send(encodeMessage(
            Refused {attach.requestId, attach.attempt, ErrorCode::NotFound, "no journal", 0}));
        return stream->finish();
    }
    const std::vector<Token> &tokens = found->second.tokens;
    const auto from = static_cast<std::ptrdiff_t>(attach.fromOffset);
    const std::size_t end = m_script.failAttachAt > 0 ? m_script.failAttachAt : tokens.size();
    stream->send(encodeMessage(
        Tokens {attach.requestId,
                attach.attempt,
                attach.fromOffset,
                {tokens.begin() + from, tokens.begin() + static_cast<std::ptrdiff_t>(end)}}));
    if (end < tokens.size())
        stream->send(encodeMessage(Failed {attach.requestId, attach.attempt, end,
                                           ErrorCode::EngineFailed, "engine reset"}));
    else
        stream->send(encodeMessage(Finished {attach.requestId, attach.attempt, end, "length"}));
    stream->finish();
}

void FakeSidecar::cutStreams()
{
    const std::lock_guard lock(m_mutex);
    for (const Stream &stream : m_cut)
        stream->reset();
    m_cut.clear();
}

void FakeSidecar::called(const Stream &stream, const Call &call)
{
    calls.push_back(call);
    CallResult done;
    done.requestId = call.requestId;
    done.outcome = Outcome::Done;
    done.status = 200;
    done.body = m_id;
    const auto result = m_callHook ? m_callHook(call) : std::optional(done);
    if (!result)
        return stream->reset();
    CallResult sent = *result;
    sent.requestId = call.requestId;
    stream->send(encodeMessage(sent));
    stream->finish();
}

void FakeSidecar::found(const Stream &stream, const Frame &frame)
{
    const auto wanted = decodeMessage<FindGeneration>(frame).value();
    const auto record = records.find(wanted.idempotencyKey);
    if (record == records.end())
        stream->send(encodeMessage(Refused {"", 0, ErrorCode::NotFound, "no record", 0}));
    else
        stream->send(encodeMessage(record->second));
    stream->finish();
}

void FakeSidecar::report(const Stream &stream)
{
    LoadReport out;
    out.serverId = m_id;
    out.service = m_service;
    out.incarnation = 1;
    out.sequence = ++m_sequence;
    out.capacity = 100;
    out.configRevision = configRevision;
    out.configEpoch = configEpoch;
    stream->send(encodeMessage(out));
}

} // namespace foxtailring::test
