#include "foxtailring/decisions/membership/FleetMembership.h"

#include "foxtailring/decisions/placement/RendezvousHash.h"

#include <algorithm>
#include <limits>
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
    for (auto &[id, other] : m_others)
        delist(other, now);
    for (const std::string &id : ids)
        put(id);
}

void FleetMembership::put(std::string_view id)
{
    if (id == m_ownId) {
        m_isSelfListed = true;
        return;
    }
    const auto [found, isNew] = m_others.try_emplace(std::string(id));
    found->second.delistedAt.reset();
    if (isNew)
        ++m_otherDemands[std::nullopt];
}

void FleetMembership::remove(std::string_view id, TimePoint now)
{
    if (id == m_ownId)
        m_isSelfListed = false;
    const auto found = m_others.find(id);
    if (found != m_others.end())
        delist(found->second, now);
}

void FleetMembership::setDemand(std::string_view id, std::optional<int> demand)
{
    if (id == m_ownId)
        m_ownDemand = demand;
    const auto found = m_others.find(id);
    if (found == m_others.end())
        return;
    forgetDemand(std::exchange(found->second.demand, demand));
    ++m_otherDemands[demand];
}

void FleetMembership::expire(TimePoint now)
{
    if (m_distrustedUntil && now >= *m_distrustedUntil)
        m_distrustedUntil.reset();
    if (!m_firstDelistedAt || now - *m_firstDelistedAt <= delistedCountsFor)
        return;
    m_firstDelistedAt.reset();
    std::erase_if(m_others, [this, now](const auto &other) {
        const auto &[delistedAt, demand] = other.second;
        const bool isOver = delistedAt && now - *delistedAt > delistedCountsFor;
        if (isOver)
            forgetDemand(demand);
        else if (delistedAt)
            m_firstDelistedAt = std::min(m_firstDelistedAt.value_or(now), *delistedAt);
        return isOver;
    });
}

std::vector<std::string> FleetMembership::listedIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, other] : m_others) {
        if (!other.delistedAt)
            ids.push_back(id);
    }
    return ids;
}

std::size_t FleetMembership::rank(std::string_view key) const
{
    if (!isKnown())
        return std::numeric_limits<std::size_t>::max();
    std::vector<std::string> names = listedIds();
    names.push_back(m_ownId);
    const std::vector<std::string> ranked = RendezvousHash::rank(key, names);
    const auto own = std::find(ranked.begin(), ranked.end(), m_ownId);
    return static_cast<std::size_t>(own - ranked.begin());
}

bool FleetMembership::owns(std::string_view key) const
{
    std::vector<std::string> names = listedIds();
    names.push_back(m_ownId);
    return isKnown() && RendezvousHash::first(key, names) == m_ownId;
}

bool FleetMembership::isListed(std::string_view id) const
{
    if (id == m_ownId)
        return m_isSelfListed;
    const auto found = m_others.find(id);
    return found != m_others.end() && !found->second.delistedAt;
}

std::size_t FleetMembership::size() const
{
    return isKnown() ? m_others.size() + 1 : largestFleet;
}

std::optional<int> FleetMembership::ownDemand() const
{
    return m_isSelfListed ? m_ownDemand : std::nullopt;
}

void FleetMembership::delist(Other &other, TimePoint now)
{
    if (other.delistedAt)
        return;
    other.delistedAt = now;
    m_firstDelistedAt = std::min(m_firstDelistedAt.value_or(now), now);
}

void FleetMembership::forgetDemand(std::optional<int> demand)
{
    const auto found = m_otherDemands.find(demand);
    if (--found->second == 0)
        m_otherDemands.erase(found);
}

} // namespace foxtailring
