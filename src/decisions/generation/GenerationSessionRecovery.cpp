#include "foxtailring/decisions/generation/GenerationSession.h"

#include <algorithm>
#include <utility>

// Part of GenerationSession that handles lost attempts, resumes and the end of a generation.

namespace foxtailring {

namespace {

// An unreachable server may be back soon; one that replied would reply the same again.
std::chrono::milliseconds retryAfterLoss(ErrorCode code)
{
    return std::chrono::milliseconds(code == ErrorCode::Unavailable ? 1000 : 0);
}

} // namespace

void GenerationSession::askForServer(GenerationActions &actions)
{
    auto reason = ServerRequestReason::First;
    if (m_mayHaveRun)
        reason = ServerRequestReason::Resume;
    else if (m_attempt > 0)
        reason = ServerRequestReason::Retry;
    m_state = State::ChoosingServer;
    m_retryAt.reset();
    actions.emplace_back(GenerationAction::ChooseServer {reason, m_excludedServers});
}

void GenerationSession::reattach(GenerationActions &actions, bool newConnection)
{
    m_retryAt.reset();
    m_isAttached = true;
    actions.emplace_back(
        GenerationAction::Attach {m_attempt, m_server, m_answer.nextOffset(), newConnection});
}

void GenerationSession::fetchMissing(GenerationActions &actions, TimePoint now)
{
    if (m_isReattachedForGap) {
        abandonAttempt(actions, {ErrorCode::Incomplete, "the journal has a gap"}, now);
        return;
    }
    m_isReattachedForGap = true;
    reattach(actions, false);
}

void GenerationSession::abandonAttempt(GenerationActions &actions, const Error &error,
                                       TimePoint now)
{
    actions.emplace_back(GenerationAction::Cancel {m_attempt, error.message});
    excludeServer();
    ++m_attemptsWithoutProgress;
    if (!m_recoveringSince)
        m_recoveringSince = now;
    if (auto reason = finishReason())
        complete(actions, std::move(*reason));
    else if (!canResume())
        failIncomplete(actions,
                       "the tokens already delivered cannot be read again: " + error.message,
                       retryAfterLoss(error.code));
    else if (m_attemptsWithoutProgress >= m_settings.maxAttemptsWithoutProgress)
        failIncomplete(actions, "too many attempts were lost: " + error.message,
                       retryAfterLoss(error.code));
    else
        askForServer(actions);
}

// A silent sidecar may be paused or unreachable for a short time. If the tokens already delivered
// are not known here, its journal is the only copy, and waiting for it costs the caller less than a
// new request.
void GenerationSession::handleSilence(GenerationActions &actions, TimePoint now)
{
    const TimePoint since = m_recoveringSince.value_or(now);
    m_recoveringSince = since;
    if (canResume() || finishReason() || now - since >= m_settings.maxResumeWait) {
        abandonAttempt(actions, {ErrorCode::Unavailable, "the sidecar does not respond"}, now);
        return;
    }
    m_liveness = LivenessMonitor(m_settings.liveness, now);
    reattach(actions, true);
}

void GenerationSession::excludeServer()
{
    m_excludedServers.insert(std::exchange(m_server, {}));
    m_answer.closeAttempt();
}

void GenerationSession::scheduleRetry(GenerationActions &actions, const Error &error,
                                      std::chrono::milliseconds retryAfter, TimePoint now)
{
    const TimePoint again = now + std::max(retryAfter, m_settings.retryDelay);
    const TimePoint giveUp = m_recoveringSince.value_or(now) + m_settings.maxResumeWait;
    if (again >= std::min(giveUp, m_spec.deadline)) {
        failIncomplete(actions, "no server can resume it in time: " + error.message, retryAfter);
        return;
    }
    m_state = State::WaitingToRetry;
    m_retryAt = again;
    // A server that failed before may have recovered by then.
    m_excludedServers.clear();
}

void GenerationSession::handleRefusedStart(GenerationActions &actions, const Error &error,
                                           std::chrono::milliseconds retryAfter)
{
    if (isRequestError(error.code)) {
        fail(actions, error, retryAfter);
        return;
    }
    m_refusal = error;
    m_refusalRetryAfter = retryAfter;
    excludeServer();
    askForServer(actions);
}

// Errors of the request itself, which every server would report.
bool GenerationSession::isRequestError(ErrorCode code)
{
    return code == ErrorCode::InvalidArgument || code == ErrorCode::Forbidden
        || code == ErrorCode::Malformed;
}

std::uint64_t GenerationSession::deliveredOffset() const
{
    return std::max(m_answer.nextOffset(), m_spec.callerOffset);
}

std::optional<std::string> GenerationSession::finishReason() const
{
    if (deliveredOffset() >= m_spec.maxTokens)
        return "length";
    if (m_stopScanner.found() && canResume())
        return "stop";
    return std::nullopt;
}

// The prefix of a new attempt must be exactly the tokens that the caller has.
bool GenerationSession::canResume() const
{
    return m_answer.firstOffset() == 0 && m_answer.nextOffset() >= m_spec.callerOffset;
}

// The whole answer is requested first, since only that allows a resume at another server. A journal
// that evicted its beginning can still deliver the tokens that the caller lacks.
bool GenerationSession::canSkipDelivered() const
{
    return m_answer.nextOffset() == 0 && m_spec.callerOffset > 0;
}

void GenerationSession::skipDelivered(GenerationActions &actions)
{
    m_answer = AnswerAssembler(m_spec.requestId, m_spec.callerOffset);
    m_answer.openAttempt(m_attempt);
    reattach(actions, false);
}

bool GenerationSession::callerCanReturn() const
{
    return m_spec.hasIdempotencyKey || (m_spec.isStreamed && deliveredOffset() > 0);
}

void GenerationSession::complete(GenerationActions &actions, std::string reason)
{
    m_state = State::Done;
    actions.emplace_back(
        GenerationAction::Complete {m_attempt, deliveredOffset(), std::move(reason)});
}

void GenerationSession::fail(GenerationActions &actions, Error error,
                             std::chrono::milliseconds retryAfter)
{
    if (m_state == State::Running && !m_server.empty())
        actions.emplace_back(GenerationAction::Cancel {m_attempt, error.message});
    m_state = State::Done;
    actions.emplace_back(GenerationAction::Fail {std::move(error), !m_mayHaveRun, retryAfter});
}

void GenerationSession::failIncomplete(GenerationActions &actions, const std::string &detail,
                                       std::chrono::milliseconds retryAfter)
{
    fail(actions, {ErrorCode::Incomplete, "the answer cannot be completed: " + detail}, retryAfter);
}

GenerationActions GenerationSession::withTick(GenerationActions actions)
{
    if (m_state == State::Idle || m_state == State::Done)
        return actions;
    const TimePoint at = nextTick();
    if (m_tickAt && *m_tickAt <= at)
        return actions;
    m_tickAt = at;
    actions.emplace_back(GenerationAction::ScheduleTick {at});
    return actions;
}

TimePoint GenerationSession::nextTick() const
{
    TimePoint at = m_spec.deadline;
    if (m_retryAt)
        at = std::min(at, *m_retryAt);
    if (m_state == State::Running) {
        at = std::min(at, m_liveness.nextChangeAt());
        at = std::min(at, m_lastAckAt + m_settings.ackInterval);
    }
    return at;
}

} // namespace foxtailring
