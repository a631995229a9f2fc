#include "foxtailring/decisions/rollouts/ListedVersions.h"

#include "foxtailring/decisions/placement/RendezvousHash.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

namespace {

// One server alone could be grey.
constexpr double minServers = 2;

} // namespace

void ListedVersions::update(std::span<const BackendInfo> servers, std::string_view version,
                            std::span<const std::string> refused)
{
    m_newIds.clear();
    m_oldCount = 0;
    for (const BackendInfo &server : servers) {
        if (server.version == version)
            m_newIds.push_back(server.id);
        else if (std::find(refused.begin(), refused.end(), server.version) == refused.end())
            ++m_oldCount;
    }
}

// Each server in use has the load of an old one, so that a version that is bad under load shows it
// while few requests go to it.
void ListedVersions::spread(double share, std::string_view key)
{
    m_inUse.clear();
    const double wanted = std::max(minServers, std::ceil(share * static_cast<double>(m_oldCount)));
    m_isWhole = share >= 1 || wanted >= static_cast<double>(m_newIds.size());
    if (m_isWhole)
        return;
    for (std::string &id : RendezvousHash::rank(key, m_newIds, static_cast<std::size_t>(wanted)))
        m_inUse.insert(std::move(id));
}

} // namespace foxtailring
