#include "GenerationFrames.h"

#include "foxtailring/decisions/generation/GenerationSession.h"
#include "foxtailring/protocol/Accepted.h"
#include "foxtailring/protocol/Failed.h"
#include "foxtailring/protocol/Finished.h"
#include "foxtailring/protocol/Frame.h"
#include "foxtailring/protocol/Progress.h"
#include "foxtailring/protocol/Refused.h"
#include "foxtailring/protocol/Tokens.h"

#include "GenerationJob.h"

#include <algorithm>
#include <limits>

namespace foxtailring {

namespace {

std::uint32_t milliseconds32(Duration duration)
{
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 1, most));
}

template <typename Message>
GenerationActions pass(GenerationSession &session, const Frame &frame, TimePoint now,
                       GenerationActions (GenerationSession::*event)(const Message &, TimePoint))
{
    const auto message = decodeMessage<Message>(frame);
    return message ? (session.*event)(message.value(), now) : GenerationActions {};
}

} // namespace

StartAttempt GenerationFrames::start(const GenerationJob &job,
                                     const GenerationAction::Start &action,
                                     std::int64_t configRevision, Duration timeLeft)
{
    StartAttempt out;
    out.requestId = job.spec.requestId;
    out.attempt = action.attempt;
    out.account = job.account;
    out.service = job.service;
    out.model = job.model;
    out.adapter = job.adapter;
    out.priority = job.priority;
    out.deadlineMs = milliseconds32(timeLeft);
    out.prompt = job.request.prompt;
    out.prefix = action.prefix;
    out.maxTokens = job.spec.maxTokens;
    out.samplingJson = job.request.samplingJson;
    out.idempotencyKey = job.idempotencyKey;
    out.configRevision = configRevision;
    out.traceparent = job.traceparent;
    return out;
}

Attach GenerationFrames::attach(const GenerationJob &job, const GenerationAction::Attach &action)
{
    return {job.spec.requestId, action.attempt, job.account, action.fromOffset, job.traceparent};
}

Ack GenerationFrames::ack(const GenerationJob &job, std::uint32_t attempt, std::uint64_t nextOffset,
                          bool final)
{
    return {job.spec.requestId, attempt, nextOffset, final};
}

Cancel GenerationFrames::cancel(const GenerationJob &job, std::uint32_t attempt,
                                const std::string &reason)
{
    return {job.spec.requestId, attempt, reason};
}

GenerationRecord GenerationFrames::record(const GenerationJob &job, const std::string &address,
                                          std::uint32_t attempt)
{
    return {job.account, job.idempotencyKey, job.request.contentHash, job.spec.requestId, attempt,
            address};
}

GenerationActions GenerationFrames::event(GenerationSession &session, const Frame &frame,
                                          TimePoint now)
{
    switch (frame.type) {
    case MessageType::Accepted:
        return pass<Accepted>(session, frame, now, &GenerationSession::onAccepted);
    case MessageType::Progress:
        return pass<Progress>(session, frame, now, &GenerationSession::onProgress);
    case MessageType::Tokens:
        return pass<Tokens>(session, frame, now, &GenerationSession::onTokens);
    case MessageType::Finished:
        return pass<Finished>(session, frame, now, &GenerationSession::onFinished);
    case MessageType::Refused:
        return pass<Refused>(session, frame, now, &GenerationSession::onRefused);
    case MessageType::Failed:
        return pass<Failed>(session, frame, now, &GenerationSession::onFailed);
    default:
        return {};
    }
}

} // namespace foxtailring
