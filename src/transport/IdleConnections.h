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
    ///
    /// The one that was idle for the shortest time, if that is below \a within.
    std::optional<Socket> take(const Endpoint &endpoint,
                               std::chrono::milliseconds within = idleTime);
    /// \param usableFor the connection is not given out after this time
    void put(const Endpoint &endpoint, Socket socket,
             std::chrono::milliseconds usableFor = idleTime);
    /// \brief Closes all of them, and every one that is put back later.
    void close();

    /// Below the 60 s after which our servers close an idle connection, so that a request is seldom
    /// written to a connection that the server is closing.
    static constexpr std::chrono::milliseconds idleTime {20'000};

private:
    struct Idle
    {
        Socket socket;
        std::chrono::steady_clock::time_point since;
        std::chrono::milliseconds usableFor;
    };

    void dropExpired(std::chrono::steady_clock::time_point now);

    std::mutex m_mutex;
    bool m_closed = false;
    std::chrono::steady_clock::time_point m_nextCheck;
    std::map<Endpoint, std::vector<Idle>> m_idle;
};

} // namespace foxtailring
