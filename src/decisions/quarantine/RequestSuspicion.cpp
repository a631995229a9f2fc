#include "foxtailring/decisions/quarantine/RequestSuspicion.h"

#include "foxtailring/decisions/quarantine/RequestQuarantine.h"
#include "foxtailring/decisions/quarantine/SuspectedCrashes.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/sessions/CallerStatus.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"
#include "foxtailring/decisions/sessions/ForwardRequest.h"

#include <algorithm>
#include <span>

namespace foxtailring {

namespace {

std::vector<std::string> suspectsOf(const ForwardRequest &request)
{
    std::vector<std::string> suspects = request.sharedPromptParts;
    if (!request.contentDigest.empty())
        suspects.push_back(request.contentDigest);
    return suspects;
}

} // namespace

RequestSuspicion::RequestSuspicion(const ForwardRequest &request, const ForwardContext &context)
    : m_context(context)
    , m_contentDigest(request.contentDigest)
    , m_suspects(suspectsOf(request))
{
}

void RequestSuspicion::admit(TimePoint now)
{
    m_isTrial = m_context.quarantine.admit(m_suspects, now) == RequestQuarantine::Admission::Trial;
}

std::string_view RequestSuspicion::quarantinedSuspect(TimePoint now) const
{
    return m_context.quarantine.quarantinedSuspect(m_suspects, now);
}

bool RequestSuspicion::hasCrashedServer() const
{
    const auto hasCrashed = [this](const BackendInfo &server) {
        return m_context.suspectedCrashes.hasCrashed(server);
    };
    return std::any_of(m_uncertainServers.begin(), m_uncertainServers.end(), hasCrashed);
}

void RequestSuspicion::addUncertainServer(const BackendInfo &server)
{
    const auto isSame = [&server](const BackendInfo &other) { return other.isSameStart(server); };
    if (std::none_of(m_uncertainServers.begin(), m_uncertainServers.end(), isSame))
        m_uncertainServers.push_back(server);
}

void RequestSuspicion::recordSilence(const BackendInfo &server, TimePoint silentSince,
                                     TimePoint now, TimePoint sentAt) const
{
    m_context.suspectedCrashes.suspect(server, m_suspects, silentSince, now, sentAt);
}

// A server that leaves ends with the requests that it has not answered.
void RequestSuspicion::recordReset(const BackendInfo &server, bool isKnownFailure,
                                   TimePoint now) const
{
    const auto current = m_context.servers.server(server.id, now);
    const bool isLeaving = current && current->info.isSameStart(server) && current->isLeaving;
    m_context.suspectedCrashes.recordReset(server, m_suspects, isKnownFailure || isLeaving, now);
}

void RequestSuspicion::recordStart(TimePoint now) const
{
    m_context.quarantine.recordStart(m_suspects, now);
}

// A failure that the server answers with may come before it looks at the prompt. But what crashes
// each server that runs it as a whole is not answered at all.
void RequestSuspicion::recordWholeAnswer(const BackendAnswer &answer, TimePoint now) const
{
    if (answer.isSuccess())
        return recordStart(now);
    // A server may turn a request away before it runs it, and not say so.
    const bool mayBeTurnedAway = answer.pause || promisesNotRun(answer.status);
    if (answer.isSigned && !answer.isOtherServer && !mayBeTurnedAway && !m_contentDigest.empty())
        m_context.quarantine.recordStart(std::span(&m_contentDigest, 1), now);
}

} // namespace foxtailring
