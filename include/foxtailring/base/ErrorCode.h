#pragma once

#include <cstdint>
#include <string_view>

namespace foxtailring {

/// \brief Kind of an error, for code that reacts to it.
enum class ErrorCode : std::uint8_t {
    InvalidArgument, ///< a value is malformed or out of range
    NotFound,        ///< the named object does not exist
    Conflict,        ///< a compare-and-swap failed: another writer changed the value
    Unauthorized,    ///< unknown client account, or wrong key or signature
    Forbidden,       ///< the client account lacks the permission
    LimitExceeded,   ///< a limit of the client account has been reached
    Overloaded,      ///< not enough capacity; retry later
    Draining,        ///< the process is draining and accepts no new work
    Stale,           ///< an outdated attempt, revision or fencing token
    Unavailable,     ///< the peer is down or cannot be reached
    Timeout,         ///< no answer before the timeout; the request may have taken effect
    Closed,          ///< the connection or stream has ended
    EngineFailed,    ///< the connection to the engine was reset
    EngineSilent,    ///< the engine no longer answers probes
    Incomplete,      ///< the answer cannot be completed
    Malformed,       ///< a received message cannot be decoded
    Internal,        ///< a bug in this program
};

/// \brief Stable lower-case name of \a code, as used in logs, metrics and HTTP problem bodies.
std::string_view errorCodeName(ErrorCode code);

} // namespace foxtailring
