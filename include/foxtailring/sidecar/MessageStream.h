#pragma once

#include "foxtailring/protocol/Frame.h"
#include "foxtailring/protocol/FrameReader.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailring {

class Http2Stream;

/// \brief Messages over one HTTP/2 stream. Thread-safe; the hooks never run concurrently.
class MessageStream : public std::enable_shared_from_this<MessageStream>
{
public:
    using FrameHook = std::function<void(const std::shared_ptr<MessageStream> &, const Frame &)>;

    /// \param hook gets each frame; bytes that are no frame reset the stream
    static std::shared_ptr<MessageStream> open(const std::shared_ptr<Http2Stream> &stream,
                                               FrameHook hook);

    /// \brief Replaces the hook; called from within it, the next frame goes to the new one.
    void onFrame(FrameHook hook);
    /// \brief \a hook runs once when the stream has ended in whichever way; at once when it has.
    void onClosed(std::function<void()> hook);

    template <typename Message>
    void send(const Message &message)
    {
        sendBytes(encodeMessage(message));
    }
    /// \brief Sends a last message and ends this side of the stream.
    template <typename Message>
    void sendLast(const Message &message)
    {
        send(message);
        finish();
    }
    void finish();
    void reset();
    std::size_t pendingBytes() const;

private:
    explicit MessageStream(std::shared_ptr<Http2Stream> stream);
    void receive(std::string_view bytes);
    void close();
    void sendBytes(std::string bytes);

    const std::shared_ptr<Http2Stream> m_stream;
    FrameReader m_reader; ///< used by the data hook only
    std::mutex m_mutex;   // guards all below; not held while a hook runs
    FrameHook m_frameHook;
    std::function<void()> m_closedHook;
    bool m_closed = false;
};

} // namespace foxtailring
