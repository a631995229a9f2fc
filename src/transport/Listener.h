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

/// \brief Accepts TCP connections and passes each on with a strand of its own. Thread-safe.
class Listener : public std::enable_shared_from_this<Listener>
{
public:
    using Hook = std::function<void(Socket)>;

    Listener(net::io_context &context, Endpoint endpoint, Hook hook);

    /// \brief Binds and accepts; returns the port. Unavailable when the address is taken.
    Result<std::uint16_t> listen();
    /// \brief Takes the connections that wait to be accepted.
    void acceptPending();
    /// \brief Releases the port before it returns.
    void close();

private:
    ErrorStatus bind(const Tcp::endpoint &address);
    void accept();
    void accepted(ErrorStatus status, Socket socket);
    void acceptLater();

    net::io_context &m_context;
    const Endpoint m_endpoint;
    const Hook m_hook;
    std::mutex m_mutex; ///< the acceptor and timer are used by workers and by close()
    Tcp::acceptor m_acceptor;
    net::steady_timer m_retryTimer;
};

} // namespace foxtailring
