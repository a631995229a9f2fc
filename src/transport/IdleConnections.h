#pragma once

#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/KeepIdleHook.h"
#include "Net.h"

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace foxtailring {

/// \brief Pool of the idle kept-alive connections of one Http1Client. Thread-safe.
class IdleConnections
{
public:
    /// \brief Removes and returns the most recently used connection that is still usable: neither
    /// closed by the peer, nor past its lifetime, nor with unexpected input.
    ///
    /// Returns nullopt if there is none that has been idle for less than \a maxAge.
    std::optional<Socket> take(const Endpoint &endpoint,
                               std::chrono::milliseconds maxAge = maxIdleTime);
    /// \param lifetime the connection is closed after this time, or sooner if the hook says so
    void put(const Endpoint &endpoint, Socket socket,
             std::chrono::milliseconds lifetime = maxIdleTime);
    /// \brief Closes all connections, and any that are put back later.
    void close();
    /// \brief Closes the connections to \a endpoint and returns their number.
    std::size_t close(const Endpoint &endpoint);
    /// \brief Closes the connections whose lifetime is over.
    void closeExpired();
    std::size_t size() const;

    void setKeepIdleHook(KeepIdleHook hook);

    /// Shorter than the 60 s after which Http1Server closes an idle connection, so that a request
    /// is rarely written to a connection that the server is closing.
    static constexpr std::chrono::milliseconds maxIdleTime {20'000};

private:
    struct IdleConnection
    {
        Socket socket;
        std::chrono::steady_clock::time_point idleSince;
        std::chrono::milliseconds lifetime;
    };

    void purgeExpired(std::chrono::steady_clock::time_point now);

    mutable std::mutex m_mutex;
    KeepIdleHook m_keepIdle;
    bool m_closed = false;
    std::chrono::steady_clock::time_point m_nextPurgeAt;
    std::map<Endpoint, std::vector<IdleConnection>> m_idle;
};

} // namespace foxtailring
