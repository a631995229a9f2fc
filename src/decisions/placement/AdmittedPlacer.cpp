#include "foxtailring/decisions/placement/AdmittedPlacer.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/limits/RateLimitExplanation.h"
#include "foxtailring/decisions/limits/ServerAdmission.h"
#include "foxtailring/decisions/placement/BackendPlacer.h"
#include "foxtailring/decisions/rollouts/RequestVersions.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/servers/ServerMemory.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace foxtailring {

AdmittedPlacer::AdmittedPlacer(const ForwardContext &context, const std::string &service,
                               std::size_t bodyBytes)
    : m_context(context)
    , m_service(service)
    , m_bodyBytes(bodyBytes)
{
}

bool AdmittedPlacer::tryAcquire(const std::string &serverId, TimePoint now)
{
    const bool isFree = m_context.admission.tryAcquire(serverId, now);
    if (!isFree)
        reportDenied(serverId, now);
    return isFree;
}

bool AdmittedPlacer::hasMemory(const std::string &serverId, TimePoint now) const
{
    const bool isFree = !m_context.serverMemory
        || m_context.serverMemory->hasRoom(m_service, serverId, m_bodyBytes, now);
    if (!isFree && m_context.onServerMemoryReached)
        m_context.onServerMemoryReached(serverId);
    return isFree;
}

void AdmittedPlacer::reportDenied(const std::string &serverId, TimePoint now) const
{
    if (m_context.admission.isPaused(serverId, now)) {
        if (m_context.onPauseReached)
            m_context.onPauseReached(serverId, m_context.admission.freeAt(serverId, now) - now);
        return;
    }
    const auto limit = m_context.admission.explainLimit(serverId, now);
    if (limit && m_context.onRateLimited)
        m_context.onRateLimited(serverId, *limit);
}

std::optional<BackendState> AdmittedPlacer::choose(PlacementRequest placement, Chooser chooser,
                                                   TimePoint now)
{
    RequestVersions *versions = m_context.versions.get();
    if (!versions)
        return chooseAccepted(std::move(placement), chooser, now);
    placement.accepts = [versions](const BackendInfo &server) { return versions->accepts(server); };
    versions->startChoice(now);
    auto chosen = chooseAccepted(placement, chooser, now);
    while (!chosen && versions->widenChoice(now))
        chosen = chooseAccepted(placement, chooser, now);
    return chosen;
}

// A server without a free request is passed over like one that does not exist: it is neither tried
// nor suspected. A server whose pause has just ended is chosen at once only if no other is expected
// to answer.
std::optional<BackendState> AdmittedPlacer::chooseAccepted(PlacementRequest placement,
                                                           Chooser chooser, TimePoint now)
{
    const std::vector<std::string> requested(placement.exclude.begin(), placement.exclude.end());
    std::vector<std::string> returning = m_context.admission.returningIds(now);
    std::vector<std::string> denied;
    m_isLimited = false;
    m_lacksMemory = false;
    while (true) {
        std::vector<std::string> exclude = requested;
        exclude.insert(exclude.end(), returning.begin(), returning.end());
        exclude.insert(exclude.end(), denied.begin(), denied.end());
        placement.exclude = exclude;
        auto chosen = (m_context.placer.*chooser)(placement, now, m_context.random);
        const bool isExpected = chosen && chosen->health != BackendHealth::Suspected;
        if (!isExpected && !returning.empty()) {
            returning.clear();
            continue;
        }
        if (chosen && !hasMemory(chosen->info.id, now)) {
            m_lacksMemory = true;
            denied.push_back(chosen->info.id);
            continue;
        }
        if (!chosen || tryAcquire(chosen->info.id, now))
            return chosen;
        if (m_context.admission.isPaused(chosen->info.id, now)) {
            // All at once, since many servers of a service may be in a pause.
            const std::vector<std::string> paused = m_context.admission.pausedIds(now);
            denied.insert(denied.end(), paused.begin(), paused.end());
        } else {
            m_isLimited = true;
            denied.push_back(chosen->info.id);
        }
    }
}

// A suspected server may not answer, so the others decide.
Duration AdmittedPlacer::waitForServer(TimePoint now) const
{
    TimePoint soonest = TimePoint::max();
    for (const BackendState &server : m_context.servers.candidates(m_service, now)) {
        if (server.health != BackendHealth::Suspected)
            soonest = std::min(soonest, m_context.admission.freeAt(server.info.id, now));
    }
    return soonest == TimePoint::max() ? Duration {0} : soonest - now;
}

bool AdmittedPlacer::isServicePaused(TimePoint now) const
{
    bool isPaused = false;
    for (const BackendState &server : m_context.servers.candidates(m_service, now)) {
        if (server.health == BackendHealth::Suspected)
            continue;
        isPaused = m_context.admission.isPaused(server.info.id, now);
        if (!isPaused)
            return false;
    }
    return isPaused;
}

} // namespace foxtailring
