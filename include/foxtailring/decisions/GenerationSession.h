#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/AnswerAssembler.h"
#include "foxtailring/decisions/GenerationAction.h"
#include "foxtailring/decisions/GenerationGoal.h"
#include "foxtailring/decisions/GenerationSessionSettings.h"
#include "foxtailring/decisions/LivenessMonitor.h"
#include "foxtailring/decisions/StopScanner.h"

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

/// \brief State machine of one generation at the entry: attempts, suspicion, resume and end.
///
/// Events are functions that return the actions they cause. Each new attempt has a higher number
/// than the one before, and events of other attempts change nothing. Not thread-safe.
class GenerationSession
{
public:
    GenerationSession(GenerationGoal goal, GenerationSessionSettings settings);

    /// \brief Begins a new generation.
    GenerationActions start(TimePoint now);
    /// \brief Goes on with an attempt that is in the journal of \a server.
    GenerationActions attach(std::string server, std::uint32_t attempt, TimePoint now);

    GenerationActions serverChosen(std::string server, TimePoint now);
    /// \param retryAfter when a server may be available; 0: not known
    GenerationActions noServer(Error error, std::chrono::milliseconds retryAfter, TimePoint now);

    GenerationActions accepted(const Accepted &message, TimePoint now);
    GenerationActions progress(const Progress &message, TimePoint now);
    GenerationActions tokens(const Tokens &message, TimePoint now);
    GenerationActions finished(const Finished &message, TimePoint now);
    GenerationActions refused(const Refused &message, TimePoint now);
    GenerationActions failed(const Failed &message, TimePoint now);
    /// \brief The latest stream of \a attempt ended; Unavailable: nothing was sent on it.
    GenerationActions streamClosed(std::uint32_t attempt, const Error &error, TimePoint now);

    GenerationActions tick(TimePoint now);
    GenerationActions callerGone(TimePoint now);

    bool isDone() const { return m_state == State::Done; }
    std::uint32_t attempt() const { return m_attempt; }
    /// \brief Server of the current attempt; empty while there is none.
    const std::string &server() const { return m_server; }
    const AnswerAssembler &answer() const { return m_answer; }

private:
    enum class State : std::uint8_t {
        Idle,
        Choosing, ///< waits for serverChosen() or noServer()
        Pausing,  ///< asks for a server again at m_retryAt
        Running,  ///< an attempt runs, or is suspected
        Done,
    };

    template <typename Message>
    bool isCurrent(const Message &message) const;
    GenerationActions noteAlive(TimePoint now);
    void takeTokens(GenerationActions &actions, std::span<const Token> added, TimePoint now);
    void askForServer(GenerationActions &actions);
    void attachAgain(GenerationActions &actions, bool newConnection);
    void fetchMissing(GenerationActions &actions, TimePoint now);
    void startRefused(GenerationActions &actions, const Error &error,
                      std::chrono::milliseconds retryAfter);
    void loseAttempt(GenerationActions &actions, const Error &error, TimePoint now);
    void loseSilent(GenerationActions &actions, TimePoint now);
    void pause(GenerationActions &actions, const Error &error, std::chrono::milliseconds retryAfter,
               TimePoint now);
    void tickRunning(GenerationActions &actions, TimePoint now);
    static bool isFinalFault(ErrorCode code);
    std::uint64_t deliveredOffset() const;
    std::optional<std::string> reachedEnd() const;
    bool canResume() const;
    bool canSkipDelivered() const;
    void skipDelivered(GenerationActions &actions);
    bool callerCanReturn() const;
    void complete(GenerationActions &actions, std::string reason);
    void fail(GenerationActions &actions, Error error, std::chrono::milliseconds retryAfter);
    void failIncomplete(GenerationActions &actions, const std::string &detail,
                        std::chrono::milliseconds retryAfter);
    void leaveServer();
    GenerationActions withTick(GenerationActions actions);
    TimePoint wakeUp() const;

    GenerationGoal m_goal;
    GenerationSessionSettings m_settings;
    State m_state = State::Idle;
    AnswerAssembler m_answer;
    StopScanner m_stops;
    LivenessMonitor m_liveness;

    std::uint32_t m_attempt = 0;
    std::string m_server;
    bool m_attached = false;    ///< the latest stream is an Attach
    bool m_gapAttached = false; ///< attached because of a gap, and no token since
    bool m_mayHaveRun = false;  ///< some attempt may have reached an engine
    std::set<std::string> m_excluded;
    std::uint32_t m_fruitless = 0;
    std::optional<Error> m_refusal; ///< of the latest refused attempt
    std::chrono::milliseconds m_refusalRetryAfter {0};
    std::optional<TimePoint> m_recoveringSince;
    std::optional<TimePoint> m_retryAt;
    TimePoint m_lastAck;
    std::optional<TimePoint> m_tickAt;
};

} // namespace foxtailring
