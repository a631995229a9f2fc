#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>

namespace foxtailring {

/// \brief A connection that ended although bytes of a request had arrived on it that get no answer,
/// or not the whole of it.
struct ConnectionCut
{
    enum class Cause {
        IdleTimeout,   ///< no input, or no output progress, for HttpLimits::idleTimeout
        HeaderTimeout, ///< the head took longer than HttpLimits::headerTimeout
        BodyTimeout,   ///< the body took longer than its request's time
        Stop,          ///< the server was closed
        CallerClosed,  ///< the caller ended the connection
        Closing,       ///< the request crossed the close of an idle connection
    };
    enum class Phase {
        Head,     ///< a part of the head had arrived
        Body,     ///< the head and a part of the body had arrived
        Response, ///< the request was handed to the handler, the response was not written
        Closing,  ///< the server had ended its side of the connection
        Refused,  ///< the whole request had arrived, it was refused without the handler
        Unread,   ///< the bytes were not read
        Discarded ///< the bytes were read, and the connection was closed before they were parsed
    };

    Cause cause;
    Phase phase;
    std::size_t arrivedBytes;      ///< of the request, and of pipelined ones behind it
    std::chrono::milliseconds age; ///< of the request's first byte
};

std::string_view connectionCutCauseName(ConnectionCut::Cause cause);
std::string_view connectionCutPhaseName(ConnectionCut::Phase phase);

} // namespace foxtailring
