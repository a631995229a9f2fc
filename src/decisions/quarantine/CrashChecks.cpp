#include "foxtailring/decisions/quarantine/CrashChecks.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

// Seconds may pass between the first sign of a failure and its proof.
constexpr std::size_t maxZones = 64;

const ServerProbeResult *findReport(std::span<const ServerProbeResult> reports,
                                    const BackendInfo &server)
{
    const auto found = std::find_if(reports.begin(), reports.end(), [&](const auto &report) {
        return report.serverId == server.id;
    });
    return found == reports.end() ? nullptr : &*found;
}

// Servers that have just failed are left out: those that a prompt has crashed in the last seconds
// would look like the loss of a zone. So are those whose address has another server. One that has
// restarted works all the same.
bool mayBeAsked(const BackendState &peer)
{
    const bool hasAddress = !peer.isReplaced || peer.reportedStart != ReportedStart::Accepted;
    return hasAddress && !peer.isLeaving && peer.health != BackendHealth::Suspected;
}

// A start that was not known tells nothing of when the server failed.
bool isNewStart(const BackendState &peer, const ServerProbeResult &report)
{
    return peer.reportedStart == ReportedStart::Accepted && peer.info.startedAtMs > 0
        && report.startedAtMs > peer.info.startedAtMs;
}

// Without a start time, the report may be that of the next start.
bool isSameStart(const BackendInfo &server, const ServerProbeResult &report)
{
    return server.startedAtMs > 0 && report.startedAtMs == server.startedAtMs;
}

} // namespace

CrashChecks::CrashChecks(const BackendTable &servers, RandomSource &random)
    : m_servers(servers)
    , m_random(random)
{
}

void CrashChecks::check(const BackendInfo &failed, TimePoint at, bool asksItself, VerdictHook hook,
                        TimePoint now)
{
    const auto open = std::find_if(m_cases.begin(), m_cases.end(), [&](const auto &one) {
        return one.second.failed.isSameStart(failed) && one.second.asksItself == asksItself;
    });
    if (open != m_cases.end())
        return open->second.hooks.push_back(std::move(hook));
    if (!m_hooks.ask || m_cases.size() >= maxCases)
        return hook({}, now);
    std::vector<BackendState> servers;
    const Zone &zone = zoneOf(failed, at, servers, now);
    if (zone.isAsked && !asksItself)
        return hook(zone.verdict, now);
    const std::uint64_t number = servers.empty() ? ++m_lastNumber : zone.number;
    m_cases.emplace(number, Case {failed, zone.number, asksItself, {std::move(hook)}});
    if (asksItself) {
        servers.emplace_back();
        servers.back().info = failed;
    }
    if (!servers.empty())
        m_hooks.ask(number, std::move(servers));
}

// Returns the answers that the server shares, or a zone that is to be asked now.
CrashChecks::Zone &CrashChecks::zoneOf(const BackendInfo &failed, TimePoint at,
                                       std::vector<BackendState> &peers, TimePoint now)
{
    const auto found = std::find_if(m_zones.begin(), m_zones.end(), [&](const Zone &zone) {
        return zone.failed.service == failed.service
            && zone.failed.availabilityZone == failed.availabilityZone
            && std::chrono::abs(zone.at - at) < maxSharedInterval;
    });
    if (found != m_zones.end())
        return *found;
    peers = choosePeers(failed, now);
    if (m_zones.size() >= maxZones)
        m_zones.pop_front();
    m_zones.push_back({++m_lastNumber, failed, at, peers.empty(), {}});
    return m_zones.back();
}

std::vector<BackendState> CrashChecks::choosePeers(const BackendInfo &failed, TimePoint now)
{
    std::vector<BackendState> peers = m_servers.zonePeers(failed, now);
    std::erase_if(peers, [](const BackendState &peer) { return !mayBeAsked(peer); });
    if (peers.size() < minPeers)
        return {};
    const std::size_t count = std::min(peers.size(), maxPeers);
    for (std::size_t i = 0; i < count; ++i)
        std::swap(peers[i], peers[i + m_random.bounded(peers.size() - i)]);
    peers.resize(count);
    return peers;
}

void CrashChecks::recordAnswers(std::uint64_t number, std::span<const BackendState> asked,
                                std::span<const ServerProbeResult> reports, TimePoint now)
{
    if (Zone *zone = findZone(number))
        judgeZone(*zone, asked, reports);
    const auto found = m_cases.find(number);
    if (found != m_cases.end() && std::exchange(found->second.asksItself, false)) {
        const ServerProbeResult *report = findReport(reports, found->second.failed);
        if (report && isSameStart(found->second.failed, *report)) {
            const Case refuted = std::move(found->second);
            m_cases.erase(found);
            for (const VerdictHook &hook : refuted.hooks)
                hook({CrashVerdict::Kind::Alive, 0, {}}, now);
        }
    }
    decideAll(now);
}

CrashChecks::Zone *CrashChecks::findZone(std::uint64_t number)
{
    const auto found = std::find_if(m_zones.begin(), m_zones.end(),
                                    [number](const Zone &zone) { return zone.number == number; });
    return found == m_zones.end() ? nullptr : &*found;
}

void CrashChecks::judgeZone(Zone &zone, std::span<const BackendState> asked,
                            std::span<const ServerProbeResult> reports)
{
    if (std::exchange(zone.isAsked, true))
        return;
    CrashVerdict &verdict = zone.verdict;
    for (const BackendState &server : asked) {
        const ServerProbeResult *report = findReport(reports, server.info);
        if (server.info.id == zone.failed.id || (report && isNewStart(server, *report)))
            continue;
        ++verdict.askedPeers;
        if (!report)
            verdict.failedPeers.push_back(server.info);
    }
    const bool isCommon = verdict.askedPeers >= minPeers
        && CrashVerdict::areMost(verdict.failedPeers.size(), verdict.askedPeers);
    verdict.kind = isCommon ? CrashVerdict::Kind::Common : CrashVerdict::Kind::Alone;
    if (m_hooks.onZoneAsked)
        m_hooks.onZoneAsked(zone.failed, verdict.askedPeers, verdict.failedPeers.size());
}

// A hook may begin another check.
void CrashChecks::decideAll(TimePoint now)
{
    std::vector<std::pair<Case, CrashVerdict>> decided;
    std::erase_if(m_cases, [&](auto &one) {
        const Zone *zone = findZone(one.second.zone);
        if (one.second.asksItself || (zone && !zone->isAsked))
            return false;
        decided.emplace_back(std::move(one.second), zone ? zone->verdict : CrashVerdict {});
        return true;
    });
    for (const auto &[one, verdict] : decided) {
        for (const VerdictHook &hook : one.hooks)
            hook(verdict, now);
    }
}

} // namespace foxtailring
