#pragma once

#include "ProxyPump.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace foxtailring::fakes {

/// \brief One proxied connection: a socket to the caller, one to the target, and two pumps. Runs on
/// one thread.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    /// \brief How the sockets are closed: with FIN or with RST.
    enum class Close { Finish, Reset };

    ProxyConnection(boost::asio::ip::tcp::socket client, const ProxyFaults &faults,
                    ProxyCounters &counters, std::function<void()> onClosed);

    void start(const boost::asio::ip::tcp::endpoint &target);
    /// \brief Goes on after the faults have changed.
    void proceed();
    /// \brief Swallows the bytes of both directions, for good.
    void goSilent();
    /// \brief True when bytes of either direction are swallowed for good.
    bool isSilent() const;
    void close(Close how);

private:
    ProxyPump::Hooks hooks();
    void onEnded();

    boost::asio::ip::tcp::socket m_client;
    boost::asio::ip::tcp::socket m_target;
    std::function<void()> m_onClosed;
    ProxyPump m_toTarget;
    ProxyPump m_toClient;
    int m_endedPumps = 0;
    bool m_connected = false;
    bool m_closed = false;
};

} // namespace foxtailring::fakes
