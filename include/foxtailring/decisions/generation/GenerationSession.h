#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/generation/AnswerAssembler.h"
#include "foxtailring/decisions/generation/GenerationAction.h"
#include "foxtailring/decisions/generation/GenerationSessionSettings.h"
#include "foxtailring/decisions/generation/GenerationSpec.h"
#include "foxtailring/decisions/generation/LivenessMonitor.h"
#include "foxtailring/decisions/generation/StopScanner.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace foxtailring {

struct Accepted;
struct Failed;
struct Finished;
struct Progress;
struct Refused;
struct Tokens;

/// \brief State machine of one generation at the entry.
///
/// Starts attempts, detects lost ones, and resumes the answer at another server. Every event
/// returns the actions it causes. Attempt numbers increase; events of other attempts than the
/// current one have no effect. Not thread-safe.
class GenerationSession
{
public:
    GenerationSession(GenerationSpec spec, GenerationSessionSettings settings);

    /// \brief Starts a new generation.
    GenerationActions start(TimePoint now);
    /// \brief Continues an attempt that is in the journal of \a server.
    GenerationActions attach(std::string server, std::uint32_t attempt, TimePoint now);

    GenerationActions onServerChosen(std::string server, TimePoint now);
    /// \param retryAfter time until a server may be available; 0: unknown
    GenerationActions onNoServer(Error error, std::chrono::milliseconds retryAfter, TimePoint now);

    GenerationActions onAccepted(const Accepted &message, TimePoint now);
    GenerationActions onProgress(const Progress &message, TimePoint now);
    GenerationActions onTokens(const Tokens &message, TimePoint now);
    GenerationActions onFinished(const Finished &message, TimePoint now);
    GenerationActions onRefused(const Refused &message, TimePoint now);
    GenerationActions onFailed(const Failed &message, TimePoint now);
    /// \brief The latest stream of \a attempt ended. Error Unavailable: nothing was sent on it.
    GenerationActions onStreamClosed(std::uint32_t attempt, const Error &error, TimePoint now);

    GenerationActions tick(TimePoint now);
    GenerationActions onCallerGone(TimePoint now);

    bool isDone() const { return m_state == State::Done; }
    std::uint32_t attempt() const { return m_attempt; }
    /// \brief Server of the current attempt; empty while there is none.
    const std::string &server() const { return m_server; }
    const AnswerAssembler &answer() const { return m_answer; }

private:
    enum class State : std::uint8_t {
        Idle,
        ChoosingServer, ///< waits for onServerChosen() or onNoServer()
        WaitingToRetry, ///< asks for a server again at m_retryAt
        Running,        ///< has an attempt, which may be suspected as lost
        Done,
    };

    template <typename Message>
    bool isCurrent(const Message &message) const;
    GenerationActions recordFrame(TimePoint now);
    void addTokens(GenerationActions &actions, std::span<const Token> added, TimePoint now);
    void askForServer(GenerationActions &actions);
    void reattach(GenerationActions &actions, bool newConnection);
    void fetchMissing(GenerationActions &actions, TimePoint now);
    void handleRefusedStart(GenerationActions &actions, const Error &error,
                            std::chrono::milliseconds retryAfter);
    void abandonAttempt(GenerationActions &actions, const Error &error, TimePoint now);
    void handleSilence(GenerationActions &actions, TimePoint now);
    void scheduleRetry(GenerationActions &actions, const Error &error,
                       std::chrono::milliseconds retryAfter, TimePoint now);
    void tickRunning(GenerationActions &actions, TimePoint now);
    static bool isRequestError(ErrorCode code);
    std::uint64_t deliveredOffset() const;
    std::optional<std::string> finishReason() const;
    bool canResume() const;
    bool canSkipDelivered() const;
    void skipDelivered(GenerationActions &actions);
    bool callerCanReturn() const;
    void complete(GenerationActions &actions, std::string reason);
    void fail(GenerationActions &actions, Error error, std::chrono::milliseconds retryAfter);
    void failIncomplete(GenerationActions &actions, const std::string &detail,
                        std::chrono::milliseconds retryAfter);
    void excludeServer();
    GenerationActions withTick(GenerationActions actions);
    TimePoint nextTick() const;

    GenerationSpec m_spec;
    GenerationSessionSettings m_settings;
    State m_state = State::Idle;
    AnswerAssembler m_answer;
    StopScanner m_stopScanner;
    LivenessMonitor m_liveness;

    std::uint32_t m_attempt = 0;
    std::string m_server;
    bool m_isAttached = false;         ///< the latest stream was opened by Attach
    bool m_isReattachedForGap = false; ///< reattached after a gap, and no new token since
    bool m_mayHaveRun = false;         ///< an attempt may have reached an engine
    std::set<std::string> m_excludedServers;
    std::uint32_t m_attemptsWithoutProgress = 0;
    std::optional<Error> m_refusal; ///< of the last refused attempt
    std::chrono::milliseconds m_refusalRetryAfter {0};
    std::optional<TimePoint> m_recoveringSince;
    std::optional<TimePoint> m_retryAt;
    TimePoint m_lastAckAt;
    std::optional<TimePoint> m_tickAt;
};

} // namespace foxtailring
