#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/placement/PlacementRequest.h"
#include "foxtailring/decisions/servers/BackendState.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace foxtailring {

struct ForwardContext;

/// \brief Finds the engines that one request's run and its copy may be placed on, from the prompt,
/// the engines tried so far and the answers of the candidates that were probed.
class RunPlacement
{
public:
    /// \param service, \a triedIds may change; they and \a context must outlive the placement
    /// \param runTokens memory that the run and each copy of it need in the end; 0: unknown
    RunPlacement(const ForwardContext &context, const std::string &service,
                 const std::vector<std::string> &triedIds, std::uint64_t runTokens = 0);

    /// \brief Updates the affinity servers of the prompt.
    void updateAffinityServers(const std::string &promptId, TimePoint now);
    bool hasAffinityServers() const { return !m_affinityServers.empty(); }
    /// \brief Ids of the servers tried so far.
    const std::vector<std::string> &triedIds() const { return m_triedIds; }
    /// \brief Healthy affinity servers that may be probed now; takes a request to each.
    std::vector<BackendState> takePromptProbes(TimePoint now) const;
    /// \brief The server that has the prompt in memory by its report; none: there is none, or it
    /// accepts no new work.
    std::optional<BackendState> promptHolder(std::span<const ServerProbeResult> reports,
                                             TimePoint now) const;
    /// \brief Candidates that may be probed now for their load; takes a request to each.
    std::vector<BackendState> takeCandidateProbes(TimePoint now);
    /// \brief False if the report names another start than the server's entry: it may come from
    /// another server at the address, which refuses the request.
    bool isFromServer(const ServerProbeResult &report, TimePoint now) const;
    /// \brief The probe of the candidates is over.
    void recordReports(std::span<const ServerProbeResult> reports, TimePoint now);
    /// \brief A candidate that answered has no room for the run. It is not chosen until
    /// dropCandidates().
    void recordFull(const std::string &serverId);
    /// \brief True if candidates have no room, and none that answered the latest probe has any.
    bool hasOnlyFull() const { return !m_full.empty() && m_responsive.empty(); }
    /// \brief Forgets the candidates that were probed.
    void dropCandidates()
    {
        m_candidates.clear();
        m_full.clear();
    }

    /// \brief Ids of the servers tried so far and of the candidates that did not answer.
    std::vector<std::string> unansweredIds() const { return triedAndNotIn(m_answered); }
    /// \brief As unansweredIds(), with those whose report named another start.
    std::vector<std::string> unresponsiveIds() const { return triedAndNotIn(m_responsive); }
    /// \brief \a exclude must outlive the result, as must this placement without changes.
    PlacementRequest request(std::span<const std::string> exclude) const;
    /// \brief Server in another zone for a continuous copy of a run at \a runServer.
    std::optional<BackendState> chooseCopyHolder(const BackendState &runServer,
                                                 TimePoint now) const;
    /// \brief True if a run may go on from its copy at \a holder.
    bool acceptsResume(const BackendState &holder, TimePoint now) const;
    /// \brief Takes a request for a probe of the server. False: it names a rate limit or asked for
    /// a pause, so that it gets no probe beside the run.
    bool tryTakeProbe(const BackendState &server, TimePoint now) const;

private:
    bool hasRoomForCopy(const BackendState &holder, TimePoint now) const;
    std::vector<std::string> triedAndNotIn(std::span<const std::string> ids) const;

    const ForwardContext &m_context;
    const std::string &m_service;
    const std::vector<std::string> &m_triedIds;
    const std::uint64_t m_runTokens;
    std::vector<std::string> m_affinityServers; ///< ids
    std::vector<std::string> m_candidates;      ///< ids of the probed servers
    std::vector<std::string> m_full;            ///< ids of those without room
    std::vector<std::string> m_answered;        ///< ids of those with a report
    std::vector<std::string> m_responsive;      ///< ids of those that answered themselves
};

} // namespace foxtailring
