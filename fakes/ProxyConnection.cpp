#include "ProxyConnection.h"

namespace foxtailring::fakes {

using boost::asio::ip::tcp;

namespace {

void closeSocket(tcp::socket &socket, ProxyConnection::Close how)
{
    boost::system::error_code ignored;
    if (how == ProxyConnection::Close::Reset)
        socket.set_option(tcp::socket::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

ProxyConnection::ProxyConnection(tcp::socket client, const ProxyFaults &faults,
                                 ProxyCounters &counters, std::function<void()> onClosed)
    : m_client(std::move(client))
    , m_target(m_client.get_executor())
    , m_onClosed(std::move(onClosed))
    , m_toTarget(m_client, m_target, ProxyPump::Direction::ToTarget, faults, counters, hooks())
    , m_toClient(m_target, m_client, ProxyPump::Direction::ToClient, faults, counters, hooks())
{
}

void ProxyConnection::start(const tcp::endpoint &target)
{
    m_target.async_connect(target, [self = shared_from_this()](boost::system::error_code error) {
        if (self->m_closed)
            return;
        if (error)
            return self->close(Close::Reset);
        boost::system::error_code ignored;
        self->m_client.set_option(tcp::no_delay(true), ignored);
        self->m_target.set_option(tcp::no_delay(true), ignored);
        self->m_connected = true;
        self->proceed();
    });
}

void ProxyConnection::proceed()
{
    if (!m_connected || m_closed)
        return;
    m_toTarget.proceed(shared_from_this());
    m_toClient.proceed(shared_from_this());
}

void ProxyConnection::goSilent()
{
    m_toTarget.goSilent();
    m_toClient.goSilent();
}

bool ProxyConnection::isSilent() const
{
    return m_toTarget.isSilent() || m_toClient.isSilent();
}

void ProxyConnection::close(Close how)
{
    if (m_closed)
        return;
    m_closed = true;
    m_toTarget.stop();
    m_toClient.stop();
    closeSocket(m_client, how);
    closeSocket(m_target, how);
    m_onClosed();
}

ProxyPump::Hooks ProxyConnection::hooks()
{
    return {[this] { onEnded(); }, [this] { close(Close::Reset); },
            [this] { close(Close::Finish); }};
}

void ProxyConnection::onEnded()
{
    if (++m_endedPumps == 2)
        close(Close::Finish);
}

} // namespace foxtailring::fakes
