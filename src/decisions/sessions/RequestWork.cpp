#include "foxtailring/decisions/sessions/RequestWork.h"

#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/servers/ServerMemory.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"

namespace foxtailring {

RequestWork::RequestWork(const ForwardContext &context, std::size_t bodyBytes)
    : m_context(context)
    , m_bodyBytes(bodyBytes)
{
}

void RequestWork::start(const std::string &service, const std::string &serverId) const
{
    m_context.servers.startWork(serverId);
    if (m_context.serverMemory)
        m_context.serverMemory->startRequest(service, serverId, m_bodyBytes);
}

void RequestWork::end(const std::string &serverId) const
{
    m_context.servers.endWork(serverId);
    if (m_context.serverMemory)
        m_context.serverMemory->endRequest(serverId, m_bodyBytes);
}

void RequestWork::recordAnswer(const std::string &serverId, TimePoint now) const
{
    if (m_context.serverMemory)
        m_context.serverMemory->recordAnswer(serverId, now);
}

// A crash may have been for lack of memory, and a server that has no memory for a request refuses
// it. Silence shows neither.
void RequestWork::recordFailure(const std::string &serverId, AttemptResult result,
                                TimePoint now) const
{
    if (!m_context.serverMemory)
        return;
    if (result == AttemptResult::Lost)
        m_context.serverMemory->recordCrash(serverId, now);
    else if (result == AttemptResult::NotRun)
        m_context.serverMemory->recordRefusal(serverId, m_bodyBytes, now);
}

} // namespace foxtailring
