#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/BackendState.h"
#include "foxtailring/decisions/sessions/CopyReference.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtailring {

/// \brief Nothing to do.
struct KeepWaiting
{
};

/// \brief Send the request to a server, ending the latest attempt first unless it becomes a
/// fallback.
struct SendAttempt
{
    /// Cause of a second attempt because the answer to the first one is slow.
    static constexpr std::string_view slowCause = "slow";

    BackendState server;
    /// The latest attempt goes on as the fallback; there is at most one.
    bool keepsLatest = false;
    std::chrono::milliseconds timeLeft {0}; ///< until the answer must be complete
    /// Server that receives a continuous copy of the run; none: no copy.
    std::optional<BackendState> copyTo;
    /// Copy at the server that the run resumes from; none: the run starts with its prompt.
    std::optional<CopyReference> fromCopy;
    std::optional<std::int64_t> lastEventId; ///< the stream resumes after this event
    std::string_view cause;                  ///< why this attempt is made, for the log
    std::optional<std::uint32_t> urgency;    ///< told to the engine, 0 is the highest; none: not
};

/// \brief The fallback is the latest attempt again and goes on; end the attempt that replaced it.
struct ResumeFallback
{
};

/// \brief End the latest attempt. No retry is left or no server takes the request now, so the next
/// attempt is made later.
struct DelayAttempt
{
    std::string_view reason; ///< `noRetry`, `noServer` or `noRoom`
};

/// \brief Query engines without affecting an attempt in progress.
struct ProbeServers
{
    enum class Subject : std::uint8_t {
        Load,   ///< their load, and whether they have the run
        Prompt, ///< whether the request's prompt is in memory
    };

    Subject subject = Subject::Load;
    std::vector<BackendState> servers;
    std::chrono::milliseconds timeout {0}; ///< later answers are ignored
    /// Idle connections are not reused: one of them may be dead although its server is not.
    bool useNewConnections = false;
};

/// \brief Have an engine copy a run's memory to another one while the attempt continues.
struct CopyRun
{
    BackendState from;
    BackendState to;
    std::chrono::milliseconds timeout {0}; ///< a later answer is ignored
};

/// \brief Pass the latest attempt's answer to the caller. It is kept until the next SendAttempt.
struct PassAnswer
{
    /// The fallback's answer, which was just reported, in place of the latest attempt's.
    bool isFallback = false;
};

/// \brief Answer the caller with an error status.
struct Refuse
{
    int status = 503; ///< 503: the request was and will not be executed; 502, 504: unknown
    std::chrono::milliseconds retryAfter {0}; ///< 0: none
    std::string_view cause;
};

/// \brief Abort an answer that has started, so that the caller does not take it for complete.
struct AbortAnswer
{
    std::string_view cause;
};

/// \brief What the caller of a ForwardSession must do next.
using ForwardAction = std::variant<KeepWaiting, SendAttempt, ResumeFallback, DelayAttempt,
                                   ProbeServers, CopyRun, PassAnswer, Refuse, AbortAnswer>;

} // namespace foxtailring
