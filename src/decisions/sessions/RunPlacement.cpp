#include "foxtailring/decisions/sessions/RunPlacement.h"

#include "foxtailring/decisions/admission/RunAdmission.h"
#include "foxtailring/decisions/limits/ServerAdmission.h"
#include "foxtailring/decisions/placement/BackendPlacer.h"
#include "foxtailring/decisions/rollouts/RequestVersions.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace foxtailring {

namespace {

// Number of servers that are probed for their load before a run is placed.
constexpr std::size_t maxCandidates = 4;

} // namespace

RunPlacement::RunPlacement(const ForwardContext &context, const std::string &service,
                           const std::vector<std::string> &triedIds, std::uint64_t runTokens)
    : m_context(context)
    , m_service(service)
    , m_triedIds(triedIds)
    , m_runTokens(runTokens)
{
}

void RunPlacement::updateAffinityServers(const std::string &promptId, TimePoint now)
{
    m_affinityServers = m_context.placer.promptAffinityServers(m_service, promptId, now);
}

std::vector<BackendState> RunPlacement::takePromptProbes(TimePoint now) const
{
    std::vector<BackendState> probed;
    for (const std::string &id : m_affinityServers) {
        const auto server = m_context.servers.server(id, now);
        if (server && server->health == BackendHealth::Healthy && tryTakeProbe(*server, now))
            probed.push_back(*server);
    }
    return probed;
}

std::optional<BackendState> RunPlacement::promptHolder(std::span<const ServerProbeResult> reports,
                                                       TimePoint now) const
{
    const auto holder =
        std::find_if(reports.begin(), reports.end(), [this, now](const ServerProbeResult &report) {
            return report.hasPrompt && isFromServer(report, now);
        });
    if (holder == reports.end())
        return std::nullopt;
    auto server = m_context.servers.server(holder->serverId, now);
    const bool isAccepted = server && server->acceptsNewWork()
        && (!m_context.versions || m_context.versions->accepts(server->info));
    return isAccepted ? std::move(server) : std::nullopt;
}

std::vector<BackendState> RunPlacement::takeCandidateProbes(TimePoint now)
{
    if (m_context.versions)
        m_context.versions->startChoice(now);
    std::vector<std::string> exclude = m_triedIds;
    for (const auto &avoided :
         {m_full, m_context.admission.pausedIds(now), m_context.admission.returningIds(now)})
        exclude.insert(exclude.end(), avoided.begin(), avoided.end());
    std::vector<BackendState> probed =
        m_context.placer.runCandidates(request(exclude), maxCandidates, now, m_context.random);
    std::erase_if(probed,
                  [this, now](const BackendState &server) { return !tryTakeProbe(server, now); });
    if (!probed.empty())
        m_responsive.clear();
    for (const BackendState &server : probed)
        m_candidates.push_back(server.info.id);
    return probed;
}

bool RunPlacement::isFromServer(const ServerProbeResult &report, TimePoint now) const
{
    const auto server = m_context.servers.server(report.serverId, now);
    if (!server || server->reportedStart != ReportedStart::Accepted)
        return false;
    const std::int64_t listed = server->info.startedAtMs;
    return report.startedAtMs <= 0 || listed <= 0 || report.startedAtMs == listed;
}

void RunPlacement::recordReports(std::span<const ServerProbeResult> reports, TimePoint now)
{
    m_answered.clear();
    m_responsive.clear();
    for (const ServerProbeResult &report : reports) {
        if (report.isTurnedAway)
            continue;
        m_answered.push_back(report.serverId);
        if (isFromServer(report, now))
            m_responsive.push_back(report.serverId);
    }
}

void RunPlacement::recordFull(const std::string &serverId)
{
    m_full.push_back(serverId);
    std::erase(m_responsive, serverId);
}

std::vector<std::string> RunPlacement::triedAndNotIn(std::span<const std::string> ids) const
{
    std::vector<std::string> others = m_triedIds;
    others.insert(others.end(), m_full.begin(), m_full.end());
    std::copy_if(m_candidates.begin(), m_candidates.end(), std::back_inserter(others),
                 [&ids](const std::string &id) {
                     return std::find(ids.begin(), ids.end(), id) == ids.end();
                 });
    return others;
}

PlacementRequest RunPlacement::request(std::span<const std::string> exclude) const
{
    PlacementRequest placementRequest;
    placementRequest.service = m_service;
    placementRequest.exclude = exclude;
    placementRequest.responsive = m_responsive;
    placementRequest.affinityServers = m_affinityServers;
    placementRequest.usesSpeed = m_context.runs != nullptr;
    if (RequestVersions *versions = m_context.versions.get())
        placementRequest.accepts = [versions](const BackendInfo &server) {
            return versions->accepts(server);
        };
    return placementRequest;
}

std::optional<BackendState> RunPlacement::chooseCopyHolder(const BackendState &runServer,
                                                           TimePoint now) const
{
    std::vector<std::string> exclude = m_triedIds;
    exclude.push_back(runServer.info.id);
    PlacementRequest copyRequest = request(exclude);
    copyRequest.avoidZone = runServer.info.availabilityZone;
    copyRequest.affinityServers = {};
    if (RequestVersions *versions = m_context.versions.get())
        copyRequest.accepts = [versions, &runServer, now](const BackendInfo &server) {
            return versions->acceptsCopy(runServer.info, server, now);
        };
    // The run could not resume at a server that has no free request or is in a pause.
    std::size_t refusals = 0;
    while (true) {
        copyRequest.exclude = exclude;
        auto holder = m_context.placer.chooseForCopy(copyRequest, now, m_context.random);
        if (!holder)
            return holder;
        const bool isUsable = !m_context.admission.isRestricted(holder->info.id, now);
        if (isUsable && hasRoomForCopy(*holder, now))
            return holder;
        // The servers that are left are no better in a shortage.
        if (isUsable && ++refusals == maxCandidates)
            return std::nullopt;
        exclude.push_back(holder->info.id);
    }
}

bool RunPlacement::hasRoomForCopy(const BackendState &holder, TimePoint now) const
{
    return !m_context.runs || m_context.runs->room().mayCopyTo(holder, m_runTokens, now);
}

bool RunPlacement::acceptsResume(const BackendState &holder, TimePoint now) const
{
    return !m_context.versions || m_context.versions->acceptsResume(holder.info, now);
}

bool RunPlacement::tryTakeProbe(const BackendState &server, TimePoint now) const
{
    return !m_context.admission.isRestricted(server.info.id, now)
        && m_context.admission.tryAcquire(server.info.id, now);
}

} // namespace foxtailring
