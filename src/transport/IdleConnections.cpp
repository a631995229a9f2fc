#include "IdleConnections.h"

#include <sys/socket.h>

namespace foxtailring {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::seconds checkInterval {1};
constexpr std::size_t maxIdlePerEndpoint = 64;

// Neither closed by the other end nor holding bytes that nobody asked for.
bool isUsable(Socket &socket)
{
    char byte = 0;
    const auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::optional<Socket> IdleConnections::take(const Endpoint &endpoint,
                                            std::chrono::milliseconds within)
{
    const std::lock_guard lock(m_mutex);
    const auto now = steady_clock::now();
    dropExpired(now);
    const auto found = m_idle.find(endpoint);
    while (found != m_idle.end() && !found->second.empty()) {
        Idle &idle = found->second.back();
        const auto age = now - idle.since;
        if (age >= within)
            return std::nullopt;
        const bool isInTime = age < idle.usableFor;
        Socket socket = std::move(idle.socket);
        found->second.pop_back();
        if (isInTime && isUsable(socket))
            return socket;
    }
    return std::nullopt;
}

void IdleConnections::put(const Endpoint &endpoint, Socket socket,
                          std::chrono::milliseconds usableFor)
{
    const std::lock_guard lock(m_mutex);
    const auto now = steady_clock::now();
    dropExpired(now);
    auto &idle = m_idle[endpoint];
    if (!m_closed && idle.size() < maxIdlePerEndpoint)
        idle.push_back({std::move(socket), now, usableFor});
}

void IdleConnections::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_idle.clear();
}

void IdleConnections::dropExpired(steady_clock::time_point now)
{
    if (now < m_nextCheck)
        return;
    m_nextCheck = now + checkInterval;
    for (auto &[endpoint, idle] : m_idle)
        std::erase_if(idle, [now](const Idle &one) { return now - one.since > one.usableFor; });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace foxtailring
