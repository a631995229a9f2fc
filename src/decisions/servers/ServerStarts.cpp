#include "foxtailring/decisions/servers/ServerStarts.h"

#include <algorithm>

namespace foxtailring {

void ServerStarts::insert(const BackendInfo &server)
{
    if (contains(server)) {
        m_servers.find(server.id)->second = server;
        return;
    }
    erase(server.id);
    if (m_servers.size() >= maxSize)
        erase(std::string(m_order.front()));
    m_servers.emplace(server.id, server);
    m_order.push_back(server.id);
}

bool ServerStarts::contains(const BackendInfo &server) const
{
    const auto found = m_servers.find(server.id);
    return found != m_servers.end() && found->second.isSameStart(server);
}

bool ServerStarts::containsSameOrLater(const BackendInfo &server) const
{
    const auto found = m_servers.find(server.id);
    const bool isLater = found != m_servers.end() && server.startedAtMs > 0
        && found->second.startedAtMs > server.startedAtMs;
    return isLater || contains(server);
}

const BackendInfo *ServerStarts::find(std::string_view id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

void ServerStarts::erase(std::string_view id)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    m_order.erase(std::find(m_order.begin(), m_order.end(), found->first));
    m_servers.erase(found);
}

} // namespace foxtailring
