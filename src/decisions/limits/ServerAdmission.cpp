#include "foxtailring/decisions/limits/ServerAdmission.h"

#include "foxtailring/decisions/limits/RateLimitTable.h"
#include "foxtailring/decisions/limits/ServerPauses.h"
#include "foxtailring/decisions/servers/BackendInfo.h"
#include "foxtailring/decisions/servers/BackendTable.h"

#include <algorithm>

namespace foxtailring {

ServerAdmission::ServerAdmission(const BackendTable &servers, RateLimitTable &limits,
                                 ServerPauses &pauses)
    : m_servers(servers)
    , m_limits(limits)
    , m_pauses(pauses)
{
}

// An answer to a request from before a restart neither names nor ends the limit of the server
// listed now.
void ServerAdmission::recordAnswer(const BackendInfo &server, const BackendAnswer &answer,
                                   TimePoint sentAt, TimePoint now)
{
    m_pauses.recordAnswer(server, answer, now);
    if (!m_servers.hasOtherStart(server))
        m_limits.recordAnswer(server.id, answer, sentAt, now);
}

// A request that a pause keeps away takes nothing from the rate limit.
bool ServerAdmission::tryAcquire(std::string_view serverId, TimePoint now)
{
    return !isPaused(serverId, now) && m_limits.tryAcquire(serverId, now);
}

bool ServerAdmission::isRestricted(std::string_view serverId, TimePoint now) const
{
    return isPaused(serverId, now) || m_limits.isLimited(serverId);
}

bool ServerAdmission::isPaused(std::string_view serverId, TimePoint now) const
{
    return m_pauses.pausedUntil(serverId, now).has_value();
}

std::vector<std::string> ServerAdmission::pausedIds(TimePoint now) const
{
    return m_pauses.pausedIds(now);
}

std::vector<std::string> ServerAdmission::returningIds(TimePoint now) const
{
    return m_pauses.returningIds(now);
}

std::optional<RateLimitExplanation> ServerAdmission::explainLimit(std::string_view serverId,
                                                                  TimePoint now)
{
    return m_limits.explain(serverId, now);
}

TimePoint ServerAdmission::freeAt(std::string_view serverId, TimePoint now)
{
    return std::max(m_limits.freeAt(serverId, now),
                    m_pauses.pausedUntil(serverId, now).value_or(now));
}

} // namespace foxtailring
