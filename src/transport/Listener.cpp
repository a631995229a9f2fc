#include "Listener.h"

#include <iterator>
#include <linux/filter.h>
#include <sys/socket.h>

namespace foxtailring {

namespace {

// Without a delay, accept() would fail in a busy loop while no file descriptor is left.
constexpr std::chrono::milliseconds acceptRetryDelay {50};

constexpr unsigned tcpFlagsOffsetBytes = 13;
constexpr unsigned tcpSynFlag = 2;
constexpr unsigned dropSegment = 0;
constexpr unsigned passSegment = 0xffffffff;

} // namespace

Listener::Listener(net::io_context &context, Endpoint endpoint, Hook hook)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_hook(std::move(hook))
    , m_acceptor(context)
    , m_retryTimer(context)
{
}

ErrorStatus Listener::bind(const Tcp::endpoint &address)
{
    ErrorStatus status;
    m_acceptor.open(address.protocol(), status);
    if (!status)
        m_acceptor.set_option(net::socket_base::reuse_address(true), status);
    if (!status)
        m_acceptor.bind(address, status);
    if (!status)
        m_acceptor.listen(net::socket_base::max_listen_connections, status);
    return status;
}

Result<std::uint16_t> Listener::listen()
{
    ErrorStatus status;
    const auto address = net::ip::make_address(m_endpoint.ip, status);
    if (status)
        return Error {ErrorCode::InvalidArgument, "\"" + m_endpoint.ip + "\" is not an IP address"};

    const std::lock_guard lock(m_mutex);
    status = bind({address, m_endpoint.port});
    if (status) {
        ErrorStatus ignored;
        m_acceptor.close(ignored);
        return Error {ErrorCode::Unavailable,
                      "cannot listen on " + m_endpoint.toString() + ": " + status.message()};
    }
    const std::uint16_t port = m_acceptor.local_endpoint().port();
    accept();
    return port;
}

void Listener::close()
{
    const std::lock_guard lock(m_mutex);
    ErrorStatus ignored;
    m_acceptor.close(ignored);
    m_retryTimer.cancel();
}

// The kernel completes handshakes until the port is closed, and resets the connections that it
// completes after the last accept(). So their first segment, the one with SYN, is dropped before.
Result<Done> Listener::ignoreAttempts()
{
    sock_filter program[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, tcpFlagsOffsetBytes),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, tcpSynFlag, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, dropSegment),
        BPF_STMT(BPF_RET | BPF_K, passSegment),
    };
    const sock_fprog filter {static_cast<unsigned short>(std::size(program)), program};
    const std::lock_guard lock(m_mutex);
    if (::setsockopt(m_acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                     sizeof filter)
        == 0)
        return Done {};
    const ErrorStatus status(errno, boost::system::system_category());
    return Error {ErrorCode::Unavailable,
                  "cannot ignore connection attempts on " + m_endpoint.toString() + ": "
                      + status.message()};
}

// Closing the listener resets connections in the backlog, whose callers may have sent a request.
void Listener::acceptPending()
{
    const std::lock_guard lock(m_mutex);
    ErrorStatus status;
    m_acceptor.non_blocking(true, status);
    while (!status) {
        Socket socket(net::make_strand(m_context));
        m_acceptor.accept(socket, status);
        if (status)
            return;
        setSocketOptions(socket);
        m_hook(std::move(socket));
    }
}

void Listener::accept()
{
    m_acceptor.async_accept(net::make_strand(m_context),
                            [self = shared_from_this()](ErrorStatus status, Socket socket) {
                                self->onAccepted(status, std::move(socket));
                            });
}

void Listener::onAccepted(ErrorStatus status, Socket socket)
{
    if (!status) {
        setSocketOptions(socket);
        m_hook(std::move(socket));
    }
    const std::lock_guard lock(m_mutex);
    if (!m_acceptor.is_open())
        return;
    if (status && status != net::error::connection_aborted)
        acceptLater();
    else
        accept();
}

void Listener::acceptLater()
{
    m_retryTimer.expires_after(acceptRetryDelay);
    m_retryTimer.async_wait([self = shared_from_this()](ErrorStatus) {
        const std::lock_guard lock(self->m_mutex);
        if (self->m_acceptor.is_open())
            self->accept();
    });
}

} // namespace foxtailring
