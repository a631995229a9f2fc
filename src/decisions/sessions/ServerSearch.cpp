#include "foxtailring/decisions/sessions/ServerSearch.h"

#include "foxtailring/decisions/placement/AdmittedPlacer.h"
#include "foxtailring/decisions/placement/BackendPlacer.h"
#include "foxtailring/decisions/sessions/ForwardRequest.h"
#include "foxtailring/decisions/sessions/RunCopier.h"
#include "foxtailring/decisions/sessions/RunPlacement.h"

#include <string>
#include <utility>
#include <vector>

namespace foxtailring {

namespace {

constexpr std::chrono::milliseconds searchProbeTimeout {60};

} // namespace

ServerSearch::ServerSearch(const ForwardRequest &request, RunPlacement &placement,
                           AdmittedPlacer &admittedPlacer, RunCopier &copier, bool canBeProbed,
                           FinishEstimate canFinish, RoomCheck hasRoom)
    : m_request(request)
    , m_placement(placement)
    , m_admittedPlacer(admittedPlacer)
    , m_copier(copier)
    , m_canBeProbed(canBeProbed)
    , m_canFinish(std::move(canFinish))
    , m_hasRoom(std::move(hasRoom))
{
}

ServerSearch::Step ServerSearch::start(bool isMove, TimePoint now)
{
    m_roundsLeft = m_rounds;
    // The copy is kept until the run is sent: a run that goes on, or waits for a server, may need
    // it.
    if (isMove && m_canBeProbed && m_copier.hasUsableCopy(now)
        && m_placement.tryTakeProbe(*m_copier.holder(), now))
        return probeCopyHolder();
    if (auto next = tryResume(now))
        return std::move(*next);
    return placeAnew(now);
}

ServerSearch::Step ServerSearch::onProbed(std::span<const ServerProbeResult> reports, TimePoint now)
{
    const Probe probe = std::exchange(m_probe, Probe::None);
    if (probe == Probe::Prompt)
        return onPromptProbed(reports, now);
    if (probe == Probe::Candidates)
        return choose(reports, now);
    const bool isWorking = !reports.empty() && !reports.front().isTurnedAway
        && m_placement.isFromServer(reports.front(), now);
    if (auto next = isWorking ? tryResume(now) : std::nullopt)
        return std::move(*next);
    return placeAnew(now);
}

void ServerSearch::end()
{
    m_probe = Probe::None;
    m_placement.dropCandidates();
}

std::optional<SendAttempt> ServerSearch::tryResume(TimePoint now)
{
    if (!m_copier.hasUsableCopy(now) || !m_placement.acceptsResume(*m_copier.holder(), now)
        || !m_admittedPlacer.tryAcquire(m_copier.holder()->info.id, now))
        return std::nullopt;
    return m_copier.takeResumeAttempt(now);
}

// Servers fall silent together, and a copy holder sends nothing by which this could be known.
ServerSearch::Step ServerSearch::probeCopyHolder()
{
    ProbeServers probe;
    probe.servers = {*m_copier.holder()};
    probe.timeout = searchProbeTimeout;
    probe.useNewConnections = true;
    m_probe = Probe::CopyHolder;
    return probe;
}

ServerSearch::Step ServerSearch::placeAnew(TimePoint now)
{
    if (!m_request.promptId.empty())
        m_placement.updateAffinityServers(m_request.promptId, now);
    const bool isReturning = m_placement.triedIds().empty() && m_request.lastEventId;
    return isReturning && m_canBeProbed && m_placement.hasAffinityServers() ? probePrompt(now)
                                                                            : probeCandidates(now);
}

// The process that served the caller before has failed, and its state is lost. The engine has
// stopped the run, but keeps the prompt in memory until it needs the space.
ServerSearch::Step ServerSearch::probePrompt(TimePoint now)
{
    ProbeServers probe;
    probe.subject = ProbeServers::Subject::Prompt;
    probe.timeout = searchProbeTimeout;
    probe.servers = m_placement.takePromptProbes(now);
    if (probe.servers.empty())
        return probeCandidates(now);
    m_probe = Probe::Prompt;
    return probe;
}

ServerSearch::Step ServerSearch::onPromptProbed(std::span<const ServerProbeResult> reports,
                                                TimePoint now)
{
    const auto server = m_placement.promptHolder(reports, now);
    if (!server)
        return probeCandidates(now);
    if (!m_canFinish(0, now))
        return Failure::NoTime;
    if (!m_admittedPlacer.tryAcquire(server->info.id, now))
        return probeCandidates(now);
    SendAttempt next;
    next.server = *server;
    return next;
}

// Processing the prompt of a run that cannot finish in time would only delay other runs.
ServerSearch::Step ServerSearch::probeCandidates(TimePoint now)
{
    if (!m_canFinish(m_request.promptTokens, now))
        return Failure::NoTime;
    if (!m_canBeProbed)
        return choose({}, now);
    --m_roundsLeft;
    ProbeServers probe;
    probe.servers = m_placement.takeCandidateProbes(now);
    if (probe.servers.empty())
        return choose({}, now);
    probe.timeout = searchProbeTimeout;
    m_probe = Probe::Candidates;
    return probe;
}

void ServerSearch::recordFull(std::span<const ServerProbeResult> reports, TimePoint now)
{
    for (const ServerProbeResult &report : reports) {
        const bool isUsable = !report.isTurnedAway && m_placement.isFromServer(report, now);
        if (m_hasRoom && isUsable && !m_hasRoom(report, now))
            m_placement.recordFull(report.serverId);
    }
}

// A server that did not answer the probe is chosen only if there is no other. One whose report
// named another start may have restarted under its id and work, with an entry that is late, so it
// comes before those.
ServerSearch::Step ServerSearch::choose(std::span<const ServerProbeResult> reports, TimePoint now)
{
    m_placement.recordReports(reports, now);
    recordFull(reports, now);
    if (m_placement.hasOnlyFull()) {
        if (m_roundsLeft > 0)
            return probeCandidates(now);
        m_placement.dropCandidates();
        return Failure::NoRoom;
    }
    const std::vector<std::string> exclusions[] = {
        m_placement.unresponsiveIds(), m_placement.unansweredIds(), m_placement.triedIds()};
    m_placement.dropCandidates();
    std::optional<BackendState> chosen;
    for (const std::vector<std::string> &excluded : exclusions) {
        if (!chosen)
            chosen = m_admittedPlacer.choose(m_placement.request(excluded),
                                             &BackendPlacer::chooseForRun, now);
    }
    if (!chosen)
        return Failure::NoServer;
    SendAttempt next;
    next.server = std::move(*chosen);
    return next;
}

} // namespace foxtailring
