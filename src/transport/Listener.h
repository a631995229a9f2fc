#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/Endpoint.h"
#include "Net.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

namespace foxtailring {

/// \brief Accepts TCP connections; the socket of each has its own strand. Thread-safe.
class Listener : public std::enable_shared_from_this<Listener>
{
public:
    using Hook = std::function<void(Socket)>;

    Listener(net::io_context &context, Endpoint endpoint, Hook hook);

    /// \brief Starts accepting connections and returns the port. InvalidArgument: the endpoint is
    /// not an IP address. Unavailable: binding failed.
    Result<std::uint16_t> listen();
    /// \brief Leaves connection attempts unanswered from now on. Connections whose handshake has
    /// begun are still accepted. Unavailable: the system does not support it.
    Result<Done> ignoreAttempts();
    /// \brief Accepts the connections in the kernel's backlog.
    void acceptPending();
    /// \brief Stops accepting; the port is free when this returns.
    void close();

private:
    ErrorStatus bind(const Tcp::endpoint &address);
    void accept();
    void onAccepted(ErrorStatus status, Socket socket);
    void acceptLater();

    net::io_context &m_context;
    const Endpoint m_endpoint;
    const Hook m_hook;
    std::mutex m_mutex; ///< guards acceptor and timer, which workers and close() use
    Tcp::acceptor m_acceptor;
    net::steady_timer m_retryTimer;
};

} // namespace foxtailring
