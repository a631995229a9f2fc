#include "foxtailring/sidecar/MessageStream.h"

#include "foxtailring/transport/Http2Stream.h"

#include <utility>

namespace foxtailring {

MessageStream::MessageStream(std::shared_ptr<Http2Stream> stream)
    : m_stream(std::move(stream))
{
}

std::shared_ptr<MessageStream> MessageStream::open(const std::shared_ptr<Http2Stream> &stream,
                                                   FrameHook hook)
{
    std::shared_ptr<MessageStream> self(new MessageStream(stream));
    self->m_frameHook = std::move(hook);
    stream->onClosed([self](const Result<Done> &) { self->close(); });
    stream->onData([self](std::string_view bytes) { self->receive(bytes); });
    return self;
}

void MessageStream::onFrame(FrameHook hook)
{
    const std::lock_guard lock(m_mutex);
    if (!m_closed)
        m_frameHook.swap(hook);
}

void MessageStream::onClosed(std::function<void()> hook)
{
    bool isClosed = false;
    {
        const std::lock_guard lock(m_mutex);
        isClosed = m_closed;
        if (!isClosed)
            m_closedHook.swap(hook);
    }
    if (isClosed)
        hook();
}

void MessageStream::receive(std::string_view bytes)
{
    const auto frames = m_reader.feed(bytes);
    if (!frames)
        return reset();
    for (const Frame &frame : frames.value()) {
        FrameHook hook;
        {
            const std::lock_guard lock(m_mutex);
            hook = m_frameHook;
        }
        if (hook)
            hook(shared_from_this(), frame);
    }
}

// Hooks refer to objects that hold this stream, so they are released here.
void MessageStream::close()
{
    FrameHook frameHook;
    std::function<void()> closedHook;
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        frameHook.swap(m_frameHook);
        closedHook.swap(m_closedHook);
    }
    if (closedHook)
        closedHook();
}

void MessageStream::finish()
{
    m_stream->finish();
}

void MessageStream::reset()
{
    m_stream->reset();
}

std::size_t MessageStream::pendingBytes() const
{
    return m_stream->pendingBytes();
}

void MessageStream::sendBytes(std::string bytes)
{
    m_stream->send(std::move(bytes));
}

} // namespace foxtailring
