#include "Http2Session.h"

#include "LargeBuffer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

// The part of Http2Session that moves bytes between nghttp2 and the socket.
namespace foxtailring {

namespace {

constexpr std::chrono::milliseconds connectTime {1000};
// Several frames go into one write, but a write stays small enough to show progress.
constexpr std::size_t writeBytes = 256 * 1024;

} // namespace

void Http2Session::start()
{
    net::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_closed)
            self->begin();
    });
}

void Http2Session::connect(const Endpoint &endpoint)
{
    net::post(m_socket.get_executor(), [self = shared_from_this(), endpoint] {
        if (self->m_closed)
            return;
        ErrorStatus status;
        const auto address = net::ip::make_address(endpoint.ip, status);
        if (status)
            return self->shutDown("not an IP number");
        self->m_timer.expires_after(connectTime);
        self->m_timer.async_wait([self](ErrorStatus waited) {
            if (!waited && !self->m_connected)
                self->shutDown("connecting timed out");
        });
        self->m_socket.async_connect({address, endpoint.port}, [self](ErrorStatus connectStatus) {
            self->connected(connectStatus);
        });
    });
}

void Http2Session::connected(ErrorStatus status)
{
    if (m_closed)
        return;
    if (status)
        return shutDown(status.message());
    m_timer.cancel();
    setSocketOptions(m_socket);
    begin();
}

void Http2Session::begin()
{
    m_connected = true;
    read();
    flush();
}

void Http2Session::read()
{
    m_socket.async_read_some(net::buffer(m_input),
                             [self = shared_from_this()](ErrorStatus status, std::size_t size) {
                                 self->received(status, size);
                             });
}

void Http2Session::received(ErrorStatus status, std::size_t size)
{
    if (m_closed)
        return;
    if (status)
        return shutDown(status.message());
    const ssize_t used = nghttp2_session_mem_recv(m_session, m_input.data(), size);
    if (used < 0)
        return shutDown(nghttp2_strerror(static_cast<int>(used)));
    scheduleFlush();
    read();
}

// Posting lets all sends that wait on the strand go into the same write.
void Http2Session::scheduleFlush()
{
    if (m_flushScheduled || m_writing || !m_connected || m_closed)
        return;
    m_flushScheduled = true;
    net::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_flushScheduled = false;
        self->flush();
    });
}

void Http2Session::flush()
{
    if (m_writing || !m_connected || m_closed)
        return;
    fillOutput();
    if (m_closed)
        return;
    if (m_output.empty())
        return closeIfUnused();
    m_writing = true;
    net::async_write(m_socket, net::buffer(m_output),
                     [self = shared_from_this()](ErrorStatus status, std::size_t) {
                         self->m_writing = false;
                         self->written(status);
                     });
}

void Http2Session::fillOutput()
{
    emptyBuffer(m_output);
    while (m_output.size() < writeBytes) {
        const std::uint8_t *bytes = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_session, &bytes);
        if (size < 0)
            return shutDown(nghttp2_strerror(static_cast<int>(size)));
        if (size == 0)
            return;
        m_output.append(reinterpret_cast<const char *>(bytes), static_cast<std::size_t>(size));
    }
}

void Http2Session::written(ErrorStatus status)
{
    if (m_closed)
        return;
    if (status)
        return shutDown(status.message());
    flush();
}

} // namespace foxtailring
