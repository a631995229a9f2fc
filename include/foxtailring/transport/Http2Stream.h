#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/protocol/HttpHeader.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief One bidirectional HTTP/2 stream, on either side. Thread-safe.
///
/// Bytes that arrive before onData() is set are kept for it. Hooks of one stream never run
/// concurrently; onData comes before onEnd, and onEnd before onClosed. After onClosed no hook runs,
/// so it is set last. The response head (status 200) is sent by itself before the first bytes.
class Http2Stream
{
public:
    virtual ~Http2Stream() = default;

    virtual std::string_view path() const = 0;
    virtual std::span<const HttpHeader> headers() const = 0;

    virtual void onData(std::function<void(std::string_view)> hook) = 0;
    /// \brief \a hook runs when the other side has finished sending.
    virtual void onEnd(std::function<void()> hook) = 0;
    /// \brief \a hook runs exactly once: ok when both sides finished, else Closed or Unavailable.
    virtual void onClosed(std::function<void(Result<Done>)> hook) = 0;

    virtual void send(std::string bytes) = 0;
    /// \brief No more bytes from this side.
    virtual void finish() = 0;
    /// \brief Ends the stream at once in both directions (RST_STREAM).
    virtual void reset() = 0;
    /// \brief Bytes passed to send() that the connection has not taken yet.
    virtual std::size_t pendingBytes() const = 0;
};

} // namespace foxtailring
