#include "SidecarLink.h"

#include "foxtailring/transport/Endpoint.h"

namespace foxtailring {

SidecarLink::SidecarLink(WorkerPool &pool, const Endpoint &endpoint)
    : m_client(pool, endpoint)
{
}

LinkStream SidecarLink::open(std::string_view path)
{
    const std::lock_guard lock(m_mutex);
    return {m_client.open(std::string(path)), m_connection};
}

LinkStream SidecarLink::openAnew(std::string_view path, std::uint64_t suspected)
{
    const std::lock_guard lock(m_mutex);
    if (m_connection == suspected) {
        m_client.reconnect(false);
        ++m_connection;
    }
    return {m_client.open(std::string(path)), m_connection};
}

std::uint64_t SidecarLink::connection() const
{
    const std::lock_guard lock(m_mutex);
    return m_connection;
}

} // namespace foxtailring
