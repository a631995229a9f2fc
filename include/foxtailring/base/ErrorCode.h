#pragma once

#include <cstdint>
#include <string_view>

namespace foxtailring {

/// \brief What went wrong, in a form that code can act on.
enum class ErrorCode : std::uint8_t {
    InvalidArgument, ///< a value is malformed or out of range
    NotFound,        ///< the thing named does not exist
    Conflict,        ///< a compare-and-swap failed: someone else changed the value
    Unauthorized,    ///< unknown client account or wrong key
    Forbidden,       ///< the client account is known but may not do this
    LimitExceeded,   ///< a limit of the client account is reached
    Overloaded,      ///< capacity is short; retry later
    Draining,        ///< the process accepts no new work
    Stale,           ///< an older attempt, revision or fencing number
    Unavailable,     ///< the other end cannot be reached or is down
    Timeout,         ///< no answer in time; the effect is unknown
    Closed,          ///< the connection or stream has ended
    EngineFailed,    ///< the engine's connection was reset
    EngineSilent,    ///< the engine stopped answering probes
    Incomplete,      ///< the answer cannot be completed
    Malformed,       ///< a message from outside cannot be decoded
    Internal,        ///< a fault of this program
};

/// \brief Stable lower-case name of \a code, as used in logs, counters and problem bodies.
std::string_view errorCodeName(ErrorCode code);

} // namespace foxtailring
