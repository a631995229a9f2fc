#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/limits/IdleConnectionDivision.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief The processes that share limits, as far as this one knows.
///
/// A process counts from the moment it is listed until well after it was delisted: too high a count
/// makes shares too small, too low a count breaks the limit. Not thread-safe; used on one queue.
class FleetMembership
{
public:
    /// \param ownId of this process, which counts whether it is listed or not
    explicit FleetMembership(std::string ownId);

    /// \brief Replaces the list of processes.
    void replace(std::span<const std::string> ids, TimePoint now);
    void put(std::string_view id);
    void remove(std::string_view id, TimePoint now);
    /// \brief Records the demand for connections that the process \a id lists; none: not known.
    /// Kept as long as the process counts. No effect if it does not count.
    void setDemand(std::string_view id, std::optional<int> demand);
    /// \brief The list may lack most processes, as that of a restored store does: it does not count
    /// as known until \a until, or until trustList().
    void distrustList(TimePoint until) { m_distrustedUntil = until; }
    void trustList() { m_distrustedUntil.reset(); }
    /// \brief Forgets processes that were delisted long ago, and distrust that is over.
    void expire(TimePoint now);

    /// \brief True if this process is the one of the listed processes that \a key falls to.
    bool owns(std::string_view key) const;
    /// \brief Number of listed processes that \a key would fall to before this one; the largest
    /// number if the list is not known.
    std::size_t rank(std::string_view key) const;
    /// \brief Ids of the other processes that are listed.
    std::vector<std::string> listedIds() const;
    bool isListed(std::string_view id) const;
    /// \brief True if this process is listed.
    bool isListed() const { return m_isSelfListed; }
    /// \brief True once a list was read that may be relied on.
    bool isKnown() const { return m_isKnown && !m_distrustedUntil; }
    /// \brief Number of processes to divide a limit by; at least 1. The largest planned fleet until
    /// the list is known.
    std::size_t size() const;
    /// \brief Listed demand of this process.
    std::optional<int> ownDemand() const;
    /// \brief Demands of all other processes that size() counts.
    const IdleConnectionDivision::Counts &otherDemands() const { return m_otherDemands; }

private:
    struct Other
    {
        std::optional<TimePoint> delistedAt; ///< none: listed
        std::optional<int> demand;
    };

    void delist(Other &other, TimePoint now);
    void forgetDemand(std::optional<int> demand);

    const std::string m_ownId;
    bool m_isKnown = false; ///< a list was read
    std::optional<TimePoint> m_distrustedUntil;
    bool m_isSelfListed = false;
    std::optional<int> m_ownDemand;
    std::map<std::string, Other, std::less<>> m_others;
    /// No other process that is delisted was delisted earlier; none: none is delisted.
    std::optional<TimePoint> m_firstDelistedAt;
    IdleConnectionDivision::Counts m_otherDemands;
};

} // namespace foxtailring
