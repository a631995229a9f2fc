#include "foxtailring/decisions/generation/GenerationSession.h"

#include "foxtailring/protocol/Accepted.h"
#include "foxtailring/protocol/Failed.h"
#include "foxtailring/protocol/Finished.h"
#include "foxtailring/protocol/Progress.h"
#include "foxtailring/protocol/Refused.h"
#include "foxtailring/protocol/Tokens.h"

#include <algorithm>

namespace foxtailring {

GenerationSession::GenerationSession(GenerationSpec spec, GenerationSessionSettings settings)
    : m_spec(std::move(spec))
    , m_settings(settings)
    , m_answer(m_spec.requestId)
    , m_stopScanner(m_spec.stopSequences)
    , m_liveness(settings.liveness, TimePoint())
{
}

GenerationActions GenerationSession::start(TimePoint)
{
    GenerationActions actions;
    askForServer(actions);
    return withTick(std::move(actions));
}

GenerationActions GenerationSession::attach(std::string server, std::uint32_t attempt,
                                            TimePoint now)
{
    m_server = std::move(server);
    m_attempt = attempt;
    m_answer.openAttempt(attempt);
    m_mayHaveRun = true;
    m_state = State::Running;
    m_liveness = LivenessMonitor(m_settings.liveness, now);
    m_lastAckAt = now;
    GenerationActions actions;
    reattach(actions, false);
    return withTick(std::move(actions));
}

GenerationActions GenerationSession::onServerChosen(std::string server, TimePoint now)
{
    GenerationActions actions;
    if (m_state != State::ChoosingServer)
        return actions;
    m_server = std::move(server);
    m_answer.openAttempt(++m_attempt);
    m_state = State::Running;
    m_isAttached = false;
    m_isReattachedForGap = false;
    m_liveness = LivenessMonitor(m_settings.liveness, now);
    m_lastAckAt = now;
    const auto known = m_answer.tokens();
    actions.emplace_back(
        GenerationAction::Start {m_attempt, m_server, {known.begin(), known.end()}});
    return withTick(std::move(actions));
}

GenerationActions GenerationSession::onNoServer(Error error, std::chrono::milliseconds retryAfter,
                                                TimePoint now)
{
    GenerationActions actions;
    if (m_state != State::ChoosingServer)
        return actions;
    if (m_mayHaveRun)
        scheduleRetry(actions, error, retryAfter, now);
    else
        fail(actions, m_refusal.value_or(std::move(error)),
             std::max(retryAfter, m_refusalRetryAfter));
    return withTick(std::move(actions));
}

template <typename Message>
bool GenerationSession::isCurrent(const Message &message) const
{
    return m_state == State::Running && message.requestId == m_spec.requestId
        && message.attempt == m_attempt;
}

GenerationActions GenerationSession::recordFrame(TimePoint now)
{
    m_liveness.onFrameReceived(now);
    return withTick({});
}

GenerationActions GenerationSession::onAccepted(const Accepted &message, TimePoint now)
{
    if (!isCurrent(message))
        return {};
    m_mayHaveRun = true;
    return recordFrame(now);
}

GenerationActions GenerationSession::onProgress(const Progress &message, TimePoint now)
{
    return isCurrent(message) ? recordFrame(now) : GenerationActions {};
}

GenerationActions GenerationSession::onTokens(const Tokens &message, TimePoint now)
{
    GenerationActions actions;
    const AssemblyResult result = m_answer.accept(message);
    if (m_state != State::Running)
        return actions;
    switch (result.verdict) {
    case TokensVerdict::Added:
        addTokens(actions, result.added, now);
        break;
    case TokensVerdict::Duplicate:
        m_liveness.onFrameReceived(now);
        break;
    case TokensVerdict::Gap:
        fetchMissing(actions, now);
        break;
    case TokensVerdict::Mismatch:
        abandonAttempt(
            actions, {ErrorCode::Incomplete, "the journal has other tokens at known offsets"}, now);
        break;
    case TokensVerdict::ForeignRequest:
    case TokensVerdict::OtherAttempt:
        break;
    }
    return withTick(std::move(actions));
}

void GenerationSession::addTokens(GenerationActions &actions, std::span<const Token> added,
                                  TimePoint now)
{
    m_liveness.onFrameReceived(now);
    m_mayHaveRun = true;
    m_isReattachedForGap = false;
    m_attemptsWithoutProgress = 0;
    m_recoveringSince.reset();
    m_excludedServers.clear();
    for (const Token &token : added)
        m_stopScanner.feed(token.text);
    const std::uint64_t end = m_answer.nextOffset();
    const std::uint64_t from = std::max(end - added.size(), m_spec.callerOffset);
    if (from >= end)
        return;
    const auto wanted = added.last(end - from);
    actions.emplace_back(GenerationAction::Emit {from, {wanted.begin(), wanted.end()}});
}

GenerationActions GenerationSession::onFinished(const Finished &message, TimePoint now)
{
    GenerationActions actions;
    if (!isCurrent(message))
        return actions;
    m_liveness.onFrameReceived(now);
    const std::uint64_t known = m_answer.nextOffset();
    if (message.totalTokens > known)
        fetchMissing(actions, now);
    else if (message.totalTokens < known)
        abandonAttempt(actions,
                       {ErrorCode::Incomplete, "the end reports fewer tokens than were received"},
                       now);
    else if (known < m_spec.callerOffset)
        failIncomplete(actions, "the answer is shorter than the part already delivered", {});
    else
        complete(actions, message.reason);
    return withTick(std::move(actions));
}

GenerationActions GenerationSession::onRefused(const Refused &message, TimePoint now)
{
    GenerationActions actions;
    if (!isCurrent(message))
        return actions;
    const Error error {message.code, message.message};
    if (!m_isAttached)
        handleRefusedStart(actions, error, std::chrono::milliseconds(message.retryAfterMs));
    else if (message.code == ErrorCode::Forbidden)
        fail(actions, error, {});
    else if (message.code == ErrorCode::Incomplete && canSkipDelivered())
        skipDelivered(actions);
    else
        abandonAttempt(actions, error, now);
    return withTick(std::move(actions));
}

GenerationActions GenerationSession::onFailed(const Failed &message, TimePoint now)
{
    GenerationActions actions;
    if (!isCurrent(message))
        return actions;
    m_mayHaveRun = true;
    const Error error {message.code, message.message};
    if (isRequestError(error.code))
        fail(actions, error, {});
    else
        abandonAttempt(actions, error, now);
    return withTick(std::move(actions));
}

GenerationActions GenerationSession::onStreamClosed(std::uint32_t attempt, const Error &error,
                                                    TimePoint now)
{
    GenerationActions actions;
    if (m_state != State::Running || attempt != m_attempt)
        return actions;
    const bool notSent = error.code == ErrorCode::Unavailable;
    if (notSent && !m_isAttached) {
        handleRefusedStart(actions, error, {});
    } else if (notSent) {
        abandonAttempt(actions, error, now);
    } else if (m_liveness.state() == Liveness::Alive) {
        m_mayHaveRun = true;
        m_liveness.onStreamReset(now);
        reattach(actions, true);
    } else {
        m_retryAt = now + m_settings.retryDelay;
    }
    return withTick(std::move(actions));
}

GenerationActions GenerationSession::tick(TimePoint now)
{
    GenerationActions actions;
    m_tickAt.reset();
    if (m_state == State::Idle || m_state == State::Done)
        return actions;
    if (now >= m_spec.deadline)
        fail(actions, {ErrorCode::Timeout, "the answer was not complete by its deadline"}, {});
    else if (m_state == State::Running)
        tickRunning(actions, now);
    else if (m_state == State::WaitingToRetry && now >= *m_retryAt)
        askForServer(actions);
    return withTick(std::move(actions));
}

void GenerationSession::tickRunning(GenerationActions &actions, TimePoint now)
{
    const Liveness before = m_liveness.state();
    const Liveness state = m_liveness.check(now);
    if (state == Liveness::Lost)
        return handleSilence(actions, now);
    const bool newlySuspected = state == Liveness::Suspected && before == Liveness::Alive;
    if (newlySuspected || (m_retryAt && now >= *m_retryAt)) {
        m_mayHaveRun = true;
        reattach(actions, true);
    }
    if (now - m_lastAckAt >= m_settings.ackInterval) {
        m_lastAckAt = now;
        actions.emplace_back(GenerationAction::Ack {m_attempt, m_answer.nextOffset()});
    }
}

GenerationActions GenerationSession::onCallerGone(TimePoint)
{
    GenerationActions actions;
    if (m_state == State::Done)
        return actions;
    if (callerCanReturn())
        actions.emplace_back(GenerationAction::Detach {});
    else if (m_state == State::Running)
        actions.emplace_back(GenerationAction::Cancel {m_attempt, "the caller disconnected"});
    m_state = State::Done;
    return actions;
}

} // namespace foxtailring
