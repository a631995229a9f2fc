#include "foxtailring/decisions/limits/IdleConnectionShare.h"

#include "foxtailring/decisions/limits/IdleConnectionDivision.h"
#include "foxtailring/decisions/membership/FleetMembership.h"

#include <algorithm>

namespace foxtailring {

namespace {

constexpr std::chrono::milliseconds maxUpdateInterval {250};
// The others divide the whole limit until they see that this process is listed.
constexpr double partBeforeListing = 0.5;

} // namespace

IdleConnectionShare::IdleConnectionShare(const Settings &settings)
    : m_settings(settings)
{
}

// The share in force is the least one since riseDelay ago. All processes that follow the store had
// the list as it was then at some time since, so no share in force is above the one by that list,
// and the shares by one list add up to the limit.
void IdleConnectionShare::update(const FleetMembership &fleet, std::optional<Duration> listAge,
                                 TimePoint now)
{
    if (!fleet.isKnown())
        return;
    m_wasListed = m_wasListed || fleet.isListed();
    append(divided(fleet, listAge && *listAge <= m_settings.maxListDelay), now);
    const Duration riseDelay = m_settings.maxListDelay + maxUpdateInterval;
    while (m_samples.size() > 1 && now - m_samples[1].since >= riseDelay)
        m_samples.pop_front();
}

// Without word from the store the others may have taken what this process had by its demand.
double IdleConnectionShare::divided(const FleetMembership &fleet, bool followsStore) const
{
    const double evenShare = m_settings.fleetLimit / static_cast<double>(fleet.size());
    if (!m_wasListed)
        return partBeforeListing * evenShare;
    if (!followsStore)
        return m_samples.empty() ? evenShare : std::min(evenShare, inForce());
    return IdleConnectionDivision::shareOf(fleet.ownDemand(), fleet.otherDemands(),
                                           m_settings.fleetLimit);
}

void IdleConnectionShare::append(double share, TimePoint now)
{
    TimePoint since = now;
    while (!m_samples.empty() && m_samples.back().share >= share) {
        since = m_samples.back().since;
        m_samples.pop_back();
    }
    m_samples.push_back({since, share});
}

} // namespace foxtailring
