#pragma once

#include "foxtailring/transport/Endpoint.h"
#include "Net.h"

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace foxtailring {

/// \brief Kept-alive connections of one Http1Client by endpoint. Thread-safe.
class IdleConnections
{
public:
    /// \brief A connection that the other end had not closed when it was last looked at.
    std::optional<Socket> take(const Endpoint &endpoint);
    void put(const Endpoint &endpoint, Socket socket);
    /// \brief Closes all of them, and every one that is put back later.
    void close();

private:
    struct Idle
    {
        Socket socket;
        std::chrono::steady_clock::time_point since;
    };

    void dropExpired(std::chrono::steady_clock::time_point now);

    std::mutex m_mutex;
    bool m_closed = false;
    std::chrono::steady_clock::time_point m_nextCheck;
    std::map<Endpoint, std::vector<Idle>> m_idle;
};

} // namespace foxtailring
