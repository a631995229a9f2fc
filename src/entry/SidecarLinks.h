#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

class SidecarFollower;
class SidecarLink;
struct EntryParts;

/// \brief The links of this entry to sidecars, by address, and the followers of some. Thread-safe.
class SidecarLinks
{
public:
    explicit SidecarLinks(EntryParts &parts);
    ~SidecarLinks();

    /// \brief The link to \a address, made when there is none; nullptr unless it is IP:PORT.
    std::shared_ptr<SidecarLink> link(const std::string &address);

    /// \brief Follows exactly these servers: address by server id.
    void follow(const std::map<std::string, std::string> &servers);
    void configChanged();
    /// \brief Revision acknowledged by a followed server; 0 for others.
    std::int64_t revision(std::string_view serverId) const;
    void close();

private:
    struct Followed
    {
        std::string address;
        std::shared_ptr<SidecarFollower> follower;
    };
    using Followers = std::map<std::string, Followed, std::less<>>;

    std::shared_ptr<SidecarLink> linkLocked(const std::string &address);
    void dropUnusedLinks();
    std::vector<std::shared_ptr<SidecarFollower>> followers() const;

    EntryParts &m_parts;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<SidecarLink>> m_links;
    Followers m_followers;
    bool m_closed = false;
};

} // namespace foxtailring
