#include "Net.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace foxtailring {

namespace {

using KeepAliveIdle = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

// Detects within about 45 s that the peer of an idle connection vanished without a FIN.
constexpr int keepAliveIdleSeconds = 30;
constexpr int keepAliveIntervalSeconds = 5;
constexpr int keepAliveCount = 3;

} // namespace

void setSocketOptions(Socket &socket)
{
    // Setting options fails on a connection that is already reset; its next read reports that.
    ErrorStatus ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.set_option(net::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepAliveIdle(keepAliveIdleSeconds), ignored);
    socket.set_option(KeepAliveInterval(keepAliveIntervalSeconds), ignored);
    socket.set_option(KeepAliveCount(keepAliveCount), ignored);
}

std::size_t unreadBytes(const Socket &socket)
{
    ErrorStatus status;
    const std::size_t size = socket.available(status);
    return status ? 0 : size;
}

std::size_t unacknowledgedBytes(Socket &socket)
{
    int count = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &count) == 0 ? static_cast<std::size_t>(count)
                                                                  : 0;
}

std::chrono::milliseconds timeSinceAcknowledgement(Socket &socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return std::chrono::milliseconds::max();
    return std::chrono::milliseconds(info.tcpi_last_ack_recv);
}

bool isReset(Socket &socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return true;
    return info.tcpi_state == TCP_CLOSE;
}

void setUnacknowledgedTimeout(Socket &socket, std::chrono::milliseconds limit)
{
    using UserTimeout = net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    ErrorStatus ignored;
    socket.set_option(UserTimeout(static_cast<int>(limit.count())), ignored);
}

} // namespace foxtailring
