#include "foxtailring/decisions/FleetMembership.h"

#include "foxtailring/decisions/RendezvousHash.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

constexpr std::size_t largestFleet = 350;
// An outage of the store may end the leases of all processes at once. Each of them is listed again
// within this time.
constexpr std::chrono::seconds delistedCountsFor {30};

} // namespace

FleetMembership::FleetMembership(std::string ownId)
    : m_ownId(std::move(ownId))
{
}

void FleetMembership::replace(std::span<const std::string> ids, TimePoint now)
{
    m_isKnown = true;
    m_isSelfListed = false;
    for (auto &[id, delistedAt] : m_others)
        delistedAt = delistedAt.value_or(now);
    for (const std::string &id : ids)
        put(id);
}

void FleetMembership::put(std::string_view id)
{
    if (id == m_ownId)
        m_isSelfListed = true;
    else
        m_others[std::string(id)] = std::nullopt;
}

void FleetMembership::remove(std::string_view id, TimePoint now)
{
    if (id == m_ownId)
        m_isSelfListed = false;
    const auto found = m_others.find(id);
    if (found != m_others.end())
        found->second = found->second.value_or(now);
}

void FleetMembership::expire(TimePoint now)
{
    std::erase_if(m_others, [now](const auto &other) {
        return other.second && now - *other.second > delistedCountsFor;
    });
}

bool FleetMembership::owns(std::string_view key) const
{
    std::vector<std::string> names {m_ownId};
    for (const auto &[id, delistedAt] : m_others) {
        if (!delistedAt)
            names.push_back(id);
    }
    return m_isKnown && RendezvousHash::first(key, names) == m_ownId;
}

bool FleetMembership::isListed(std::string_view id) const
{
    if (id == m_ownId)
        return m_isSelfListed;
    const auto found = m_others.find(id);
    return found != m_others.end() && !found->second;
}

std::size_t FleetMembership::size() const
{
    return m_isKnown ? m_others.size() + 1 : largestFleet;
}

} // namespace foxtailring
