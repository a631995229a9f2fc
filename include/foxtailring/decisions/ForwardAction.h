#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/BackendState.h"
#include "foxtailring/decisions/CopyReference.h"

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

/// \brief Send the request to a server; an attempt under way is ended first.
struct SendAttempt
{
    BackendState server;
    std::chrono::milliseconds timeLeft {0}; ///< for the whole answer
    /// Server that keeps a copy of the run as it grows; none: no copy.
    std::optional<BackendState> copyTo;
    /// The run goes on from this copy, which the server has; none: its prompt is read.
    std::optional<CopyReference> fromCopy;
    std::optional<std::int64_t> lastEventId; ///< the stream goes on after this event
    std::string_view cause;                  ///< why this attempt is made, for the log
};

/// \brief Ask engines how they are doing, beside an attempt under way.
struct ProbeServers
{
    enum class Subject : std::uint8_t {
        Load,   ///< load and runs
        Prompt, ///< whether the request's prompt is in memory
    };

    Subject subject = Subject::Load;
    std::vector<BackendState> servers;
    std::chrono::milliseconds timeout {0}; ///< answers that take longer do not count
    /// On connections of their own: a kept-alive one may have gone silent by itself.
    bool useNewConnections = false;
};

/// \brief Have an engine copy a run's memory to another one, beside the attempt under way.
struct CopyRun
{
    BackendState from;
    BackendState to;
    std::chrono::milliseconds timeout {0}; ///< an answer that takes longer does not count
};

/// \brief Pass the server's answer on.
struct PassAnswer
{
};

/// \brief Answer by the system itself.
struct Refuse
{
    int status = 503; ///< 502 and 504 promise nothing; 503: the request has not run and will not
    std::chrono::milliseconds retryAfter {0}; ///< 0: not told
    std::string_view cause;
};

/// \brief End an answer that has begun in a way that cannot be taken for its end.
struct AbortAnswer
{
    std::string_view cause;
};

/// \brief What a session wants done next.
using ForwardAction =
    std::variant<KeepWaiting, SendAttempt, ProbeServers, CopyRun, PassAnswer, Refuse, AbortAnswer>;

} // namespace foxtailring
