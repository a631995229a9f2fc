#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/BackendInfo.h"

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief The servers of one service by their version: that which an order names, and the others.
class ListedVersions
{
public:
    /// \param version that the order names
    /// \param refused versions that must not serve, whose servers do not count
    void update(std::span<const BackendInfo> servers, std::string_view version,
                std::span<const std::string> refused);
    /// \brief Sets on how many servers the new version's requests are spread.
    /// \param share of the requests that go to it
    /// \param key by which all gateways choose the same ones
    void spread(double share, std::string_view key);

    bool hasNew() const { return !m_newIds.empty(); }
    bool hasOld() const { return m_oldCount > 0; }
    /// \brief True if the new version's requests may go to the server.
    bool isInUse(std::string_view id) const { return m_isWhole || m_inUse.contains(id); }

private:
    std::vector<std::string> m_newIds;
    std::size_t m_oldCount = 0;
    bool m_isWhole = false; ///< all servers of the new version are in use
    std::set<std::string, std::less<>> m_inUse;
};

} // namespace foxtailring
