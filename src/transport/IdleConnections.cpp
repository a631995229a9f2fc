#include "IdleConnections.h"

#include <algorithm>
#include <sys/socket.h>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::seconds purgeInterval {1};
constexpr std::size_t maxIdlePerEndpoint = 64;

// False if the peer has closed the connection or has sent bytes without a request.
bool isUsable(Socket &socket)
{
    char byte = 0;
    const auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::optional<Socket> IdleConnections::take(const Endpoint &endpoint,
                                            std::chrono::milliseconds maxAge)
{
    const std::lock_guard lock(m_mutex);
    const auto now = steady_clock::now();
    purgeExpired(now);
    const auto found = m_idle.find(endpoint);
    while (found != m_idle.end() && !found->second.empty()) {
        IdleConnection &idle = found->second.back();
        const auto age = now - idle.idleSince;
        if (age >= maxAge)
            return std::nullopt;
        const bool isInTime = age < idle.lifetime;
        Socket socket = std::move(idle.socket);
        found->second.pop_back();
        if (isInTime && isUsable(socket))
            return socket;
    }
    return std::nullopt;
}

void IdleConnections::put(const Endpoint &endpoint, Socket socket,
                          std::chrono::milliseconds lifetime)
{
    const std::lock_guard lock(m_mutex);
    const auto now = steady_clock::now();
    purgeExpired(now);
    auto &idle = m_idle[endpoint];
    if (m_closed || idle.size() >= maxIdlePerEndpoint)
        return;
    if (m_keepIdle)
        lifetime = std::min(lifetime, m_keepIdle(endpoint, idle.size()));
    if (lifetime.count() > 0)
        idle.push_back({std::move(socket), now, lifetime});
}

void IdleConnections::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_idle.clear();
}

std::size_t IdleConnections::close(const Endpoint &endpoint)
{
    const std::lock_guard lock(m_mutex);
    const auto node = m_idle.extract(endpoint);
    return node ? node.mapped().size() : 0;
}

void IdleConnections::closeExpired()
{
    const std::lock_guard lock(m_mutex);
    m_nextPurgeAt = {};
    purgeExpired(steady_clock::now());
}

std::size_t IdleConnections::size() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t total = 0;
    for (const auto &[endpoint, idle] : m_idle)
        total += idle.size();
    return total;
}

void IdleConnections::setKeepIdleHook(KeepIdleHook hook)
{
    const std::lock_guard lock(m_mutex);
    m_keepIdle = std::move(hook);
}

void IdleConnections::purgeExpired(steady_clock::time_point now)
{
    if (now < m_nextPurgeAt)
        return;
    m_nextPurgeAt = now + purgeInterval;
    for (auto &[endpoint, idle] : m_idle)
        std::erase_if(idle, [now](const IdleConnection &connection) {
            return now - connection.idleSince > connection.lifetime;
        });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace foxtailring
