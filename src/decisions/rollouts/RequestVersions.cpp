#include "foxtailring/decisions/rollouts/RequestVersions.h"

#include "foxtailring/decisions/rollouts/Rollouts.h"
#include "foxtailring/decisions/servers/BackendInfo.h"

#include <utility>
#include <vector>

namespace foxtailring {

RequestVersions::RequestVersions(Rollouts &rollouts)
    : m_rollouts(rollouts)
{
}

RequestVersions::~RequestVersions()
{
    if (m_hasCredit && isOfSameOrder())
        m_rollout->giveBackNew();
}

void RequestVersions::begin(std::string_view service, std::string_view route, TimePoint now)
{
    m_rollout = &m_rollouts.of(service);
    m_wantsNew = m_rollout->takeNew(route, now);
    m_hasCredit = m_wantsNew;
    m_orderCount = m_rollout->orderCount();
    startChoice(now);
}

// What was taken for the version of one order is not for that of the next.
bool RequestVersions::isOfSameOrder() const
{
    return m_orderCount == m_rollout->orderCount();
}

void RequestVersions::startChoice(TimePoint now)
{
    m_choice = 0;
    if (m_rollout)
        m_side = m_rollout->sides(m_wantsNew && isOfSameOrder(), now).front();
}

bool RequestVersions::widenChoice(TimePoint now)
{
    if (!m_rollout)
        return false;
    const std::vector<VersionSide> sides = m_rollout->sides(m_wantsNew && isOfSameOrder(), now);
    if (m_choice + 1 >= sides.size())
        return false;
    m_side = sides[++m_choice];
    return true;
}

bool RequestVersions::accepts(const BackendInfo &server) const
{
    return !m_rollout || m_rollout->accepts(server, m_side);
}

bool RequestVersions::acceptsCopy(const BackendInfo &runServer, const BackendInfo &holder,
                                  TimePoint now) const
{
    return !m_rollout
        || (runServer.version == holder.version && m_rollout->allowsCopies(holder.version, now));
}

bool RequestVersions::acceptsResume(const BackendInfo &holder, TimePoint now) const
{
    return !m_rollout || m_rollout->allowsCopies(holder.version, now);
}

// A request reaches a version on trial once at most: its repeats go to the old ones.
void RequestVersions::recordSent(const BackendInfo &server)
{
    if (!m_rollout || !m_rollout->isNew(server.version))
        return;
    m_hasCredit = false;
    m_wantsNew = false;
}

} // namespace foxtailring
