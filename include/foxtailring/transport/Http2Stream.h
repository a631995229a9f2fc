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
/// Bytes that arrive before the data hook is set are buffered for it. Hooks of one stream never run
/// concurrently; data hooks run before the end hook, and that before the closed hook. No hook runs
/// after the closed hook, so set it last. A server sends the response head (status 200) before the
/// first bytes.
class Http2Stream
{
public:
    virtual ~Http2Stream() = default;

    virtual std::string_view path() const = 0;
    virtual std::span<const HttpHeader> headers() const = 0;

    virtual void onData(std::function<void(std::string_view)> hook) = 0;
    /// \brief \a hook runs when the other side has finished sending.
    virtual void onEnd(std::function<void()> hook) = 0;
    /// \brief \a hook runs exactly once: Done when both sides finished, else Closed or Unavailable.
    virtual void onClosed(std::function<void(Result<Done>)> hook) = 0;

    virtual void send(std::string bytes) = 0;
    /// \brief Ends this side's direction of the stream; bytes sent later are discarded.
    virtual void finish() = 0;
    /// \brief Ends the stream in both directions immediately (RST_STREAM).
    virtual void reset() = 0;
    /// \brief Bytes passed to send() that are not yet in a DATA frame.
    virtual std::size_t pendingBytes() const = 0;
};

} // namespace foxtailring
