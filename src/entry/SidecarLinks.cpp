#include "SidecarLinks.h"

#include "foxtailring/decisions/servers/ReportPacing.h"
#include "foxtailring/transport/Endpoint.h"

#include "EntryParts.h"
#include "SidecarFollower.h"
#include "SidecarLink.h"

namespace foxtailring {

SidecarLinks::SidecarLinks(EntryParts &parts)
    : m_parts(parts)
{
}

SidecarLinks::~SidecarLinks() = default;

std::shared_ptr<SidecarLink> SidecarLinks::link(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    return linkLocked(address);
}

std::shared_ptr<SidecarLink> SidecarLinks::linkLocked(const std::string &address)
{
    const auto found = m_links.find(address);
    if (found != m_links.end())
        return found->second;
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint || m_closed)
        return nullptr;
    auto made = std::make_shared<SidecarLink>(m_parts.pool, endpoint.value());
    m_links.emplace(address, made);
    return made;
}

void SidecarLinks::follow(const std::map<std::string, std::string> &servers)
{
    std::vector<std::shared_ptr<SidecarFollower>> stopped;
    std::vector<std::shared_ptr<SidecarFollower>> started;
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_followers, [&](auto &entry) {
            const auto wanted = servers.find(entry.first);
            const bool stays = wanted != servers.end() && wanted->second == entry.second.address;
            if (!stays)
                stopped.push_back(std::move(entry.second.follower));
            return !stays;
        });
        for (const auto &[id, address] : servers) {
            const auto link = m_followers.contains(id) ? nullptr : linkLocked(address);
            if (!link)
                continue;
            started.push_back(std::make_shared<SidecarFollower>(m_parts, id, link));
            m_followers.emplace(id, Followed {address, started.back()});
        }
        dropUnusedLinks();
    }
    for (const auto &follower : stopped)
        follower->stop();
    for (const auto &follower : started)
        follower->start();
    const auto interval = reportInterval(servers.size(), m_parts.settings.reportInterval);
    for (const auto &follower : followers())
        follower->setReportInterval(interval);
}

// Links made for a single request stay until nobody else holds them.
void SidecarLinks::dropUnusedLinks()
{
    std::erase_if(m_links, [](const auto &entry) { return entry.second.use_count() == 1; });
}

void SidecarLinks::configChanged()
{
    for (const auto &follower : followers())
        follower->configChanged();
}

std::vector<std::shared_ptr<SidecarFollower>> SidecarLinks::followers() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<SidecarFollower>> all;
    for (const auto &[id, followed] : m_followers)
        all.push_back(followed.follower);
    return all;
}

std::int64_t SidecarLinks::revision(std::string_view serverId) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_followers.find(serverId);
    return found == m_followers.end() ? 0 : found->second.follower->revision();
}

void SidecarLinks::close()
{
    follow({});
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_links.clear();
}

} // namespace foxtailring
