#include "Http2Session.h"

#include "LargeBuffer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

// Moves bytes of an Http2Session between nghttp2 and the socket.
namespace foxtailring {

namespace {

constexpr std::chrono::milliseconds connectTimeout {1000};
// Frames are combined into one write, but a write stays small enough for progress to be seen.
constexpr std::size_t maxWriteBytes = 256 * 1024;

} // namespace

void Http2Session::start()
{
    net::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_isClosed)
            self->startIo();
    });
}

void Http2Session::connect(const Endpoint &endpoint)
{
    net::post(m_socket.get_executor(), [self = shared_from_this(), endpoint] {
        if (self->m_isClosed)
            return;
        ErrorStatus status;
        const auto address = net::ip::make_address(endpoint.ip, status);
        if (status)
            return self->shutDown("not an IP address");
        self->m_timer.start(connectTimeout,
                            [self] { self->shutDown("the connect attempt timed out"); });
        self->m_socket.async_connect({address, endpoint.port}, [self](ErrorStatus connectStatus) {
            self->onConnected(connectStatus);
        });
    });
}

void Http2Session::onConnected(ErrorStatus status)
{
    if (m_isClosed)
        return;
    if (status)
        return shutDown(status.message());
    m_timer.cancel();
    setSocketOptions(m_socket);
    startIo();
}

void Http2Session::startIo()
{
    m_isConnected = true;
    read();
    flush();
}

void Http2Session::read()
{
    m_socket.async_read_some(net::buffer(m_input),
                             [self = shared_from_this()](ErrorStatus status, std::size_t size) {
                                 self->onRead(status, size);
                             });
}

void Http2Session::onRead(ErrorStatus status, std::size_t size)
{
    if (m_isClosed)
        return;
    if (status)
        return shutDown(status.message());
    const ssize_t used = nghttp2_session_mem_recv(m_session, m_input.data(), size);
    if (used < 0)
        return shutDown(nghttp2_strerror(static_cast<int>(used)));
    scheduleFlush();
    read();
}

// Flushing is posted, so that all sends already queued on the strand share one write.
void Http2Session::scheduleFlush()
{
    if (m_flushScheduled || m_isWriting || !m_isConnected || m_isClosed)
        return;
    m_flushScheduled = true;
    net::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_flushScheduled = false;
        self->flush();
    });
}

void Http2Session::flush()
{
    if (m_isWriting || !m_isConnected || m_isClosed)
        return;
    fillOutput();
    if (m_isClosed)
        return;
    if (m_output.empty())
        return closeIfUnused();
    m_isWriting = true;
    net::async_write(m_socket, net::buffer(m_output),
                     [self = shared_from_this()](ErrorStatus status, std::size_t) {
                         self->m_isWriting = false;
                         self->onWritten(status);
                     });
}

void Http2Session::fillOutput()
{
    clearBuffer(m_output);
    while (m_output.size() < maxWriteBytes) {
        const std::uint8_t *bytes = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_session, &bytes);
        if (size < 0)
            return shutDown(nghttp2_strerror(static_cast<int>(size)));
        if (size == 0)
            return;
        m_output.append(reinterpret_cast<const char *>(bytes), static_cast<std::size_t>(size));
    }
}

void Http2Session::onWritten(ErrorStatus status)
{
    if (m_isClosed)
        return;
    if (status)
        return shutDown(status.message());
    flush();
}

} // namespace foxtailring
