#include "foxtailring/decisions/quarantine/SuspectedCrashes.h"

#include "foxtailring/decisions/quarantine/CrashChecks.h"
#include "foxtailring/decisions/quarantine/CrashVerdict.h"
#include "foxtailring/decisions/quarantine/RequestQuarantine.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"

#include <algorithm>
#include <optional>

namespace foxtailring {

namespace {

// Requests that one server processes at the same time; more say little about each of them.
constexpr std::size_t maxRequestsPerServer = 64;
// Longer than any request that may ask whether its servers crashed.
constexpr std::chrono::seconds crashMemory {60};
constexpr std::size_t maxCrashed = 512;
// Probes at one time, so that the loss of a zone makes no burst of them.
constexpr std::size_t maxProbesAtOnce = 8;

} // namespace

SuspectedCrashes::SuspectedCrashes(RequestQuarantine &quarantine, CrashChecks *checks)
    : m_quarantine(quarantine)
    , m_checks(checks)
{
}

std::string SuspectedCrashes::incarnationOf(const BackendInfo &server)
{
    return incarnationOf(server.id, server.startedAtMs);
}

std::string SuspectedCrashes::incarnationOf(std::string_view serverId, std::int64_t startedAtMs)
{
    return std::string(serverId) + '@' + std::to_string(startedAtMs);
}

void SuspectedCrashes::suspect(const BackendInfo &server, Suspects suspects, TimePoint silentSince,
                               TimePoint now, TimePoint sentAt)
{
    const std::string incarnation = incarnationOf(server);
    if (suspects.empty())
        return;
    const auto crashed = m_crashed.find(incarnation);
    if (crashed != m_crashed.end())
        return accuseLate(server, crashed->second, suspects, sentAt, now);
    auto found = m_suspicions.find(incarnation);
    if (found == m_suspicions.end()) {
        if (m_suspicions.size() >= maxServers)
            return;
        found =
            m_suspicions.emplace(incarnation, Suspicion {server, silentSince, now, {}, now}).first;
        // The others in its zone may work again when the crash is proven, so they are asked now.
        if (m_checks)
            m_checks->check(
                server, silentSince, false, [](const auto &, TimePoint) {}, now);
    }
    Suspicion &suspicion = found->second;
    addRequest(suspicion, suspects);
    suspicion.silentSince = std::max(suspicion.silentSince, silentSince);
    if (now - suspicion.suspectedAt >= maxSoundSilence)
        confirm(found, CrashEvidence::Silent, now);
}

// A request may be overdue long after others have shown that its server crashed. That an entry was
// removed is not enough: no later report refutes it, and the server may work.
void SuspectedCrashes::accuseLate(const BackendInfo &server, const ProvenCrash &crash,
                                  Suspects suspects, TimePoint sentAt, TimePoint now)
{
    if (crash.evidence != CrashEvidence::Lapsed && sentAt <= crash.downSince)
        accuse({server, {{suspects.begin(), suspects.end()}}, crash.at, crash.evidence}, now);
}

void SuspectedCrashes::addRequest(Suspicion &suspicion, Suspects suspects)
{
    std::vector<std::string> request(suspects.begin(), suspects.end());
    auto &requests = suspicion.requests;
    if (!request.empty() && requests.size() < maxRequestsPerServer
        && std::find(requests.begin(), requests.end(), request) == requests.end())
        requests.push_back(std::move(request));
}

void SuspectedCrashes::recordReset(const BackendInfo &server, Suspects suspects,
                                   bool isNoAccusation, TimePoint now)
{
    const std::string incarnation = incarnationOf(server);
    const auto found = m_suspicions.find(incarnation);
    if (found != m_suspicions.end()) {
        addRequest(found->second, suspects);
        confirm(found, CrashEvidence::Reset, now);
        return;
    }
    recordCrashed(incarnation, {CrashEvidence::Reset, now, now, now});
    if (isNoAccusation || suspects.empty())
        return;
    accuse({server, {{suspects.begin(), suspects.end()}}, now, CrashEvidence::Reset}, now);
}

void SuspectedCrashes::accuse(SuspectCrash crash, TimePoint now)
{
    if (!m_checks)
        return onVerdict(crash, {}, now);
    const BackendInfo server = crash.server;
    const TimePoint at = crash.at;
    const bool mayLive = crash.evidence == CrashEvidence::Reset;
    const auto hook = [this, crash = std::move(crash)](const CrashVerdict &verdict,
                                                       TimePoint decidedAt) {
        onVerdict(crash, verdict, decidedAt);
    };
    m_checks->check(server, at, mayLive, hook, now);
}

void SuspectedCrashes::onVerdict(const SuspectCrash &crash, const CrashVerdict &verdict,
                                 TimePoint now)
{
    if (verdict.kind == CrashVerdict::Kind::Alive)
        return refute(crash);
    reportCrash(crash, verdict);
    RequestQuarantine::ProvenCrash proven;
    proven.service = crash.server.service;
    proven.at = crash.at;
    proven.evidence = crash.evidence;
    proven.askedPeers = verdict.askedPeers;
    for (const BackendInfo &peer : verdict.failedPeers)
        proven.failedPeers.push_back(incarnationOf(peer));
    for (const auto &request : crash.requests)
        m_quarantine.recordCrash(incarnationOf(crash.server), request, proven, now);
}

void SuspectedCrashes::refute(const SuspectCrash &crash)
{
    const std::string incarnation = incarnationOf(crash.server);
    m_crashed.erase(incarnation);
    m_quarantine.withdrawFailure(incarnation);
    if (m_hooks.onCleared)
        m_hooks.onCleared(crash.server, "report");
}

void SuspectedCrashes::recordBytes(const BackendInfo &server)
{
    if (m_suspicions.empty() && m_crashed.empty())
        return;
    const std::string incarnation = incarnationOf(server);
    refuteSilence(incarnation);
    const auto found = m_suspicions.find(incarnation);
    if (found != m_suspicions.end())
        clear(found, "bytes");
}

// What was on its way at a reset may still arrive after it, but not after seconds of silence.
void SuspectedCrashes::refuteSilence(std::string_view incarnation)
{
    const auto crashed = m_crashed.find(incarnation);
    if (crashed == m_crashed.end() || crashed->second.evidence != CrashEvidence::Silent)
        return;
    m_crashed.erase(crashed);
    m_quarantine.withdrawCrash(incarnation);
}

// A report without a start time may be of a later start, but does not prove it: in doubt nothing is
// accused.
void SuspectedCrashes::recordReport(std::string_view serverId, std::int64_t startedAtMs,
                                    TimePoint now)
{
    refuteSilence(incarnationOf(serverId, startedAtMs));
    for (auto it = m_suspicions.begin(); it != m_suspicions.end();) {
        const BackendInfo &server = it->second.server;
        if (server.id != serverId)
            ++it;
        else if (server.startedAtMs > 0 && startedAtMs > server.startedAtMs)
            it = confirm(it, CrashEvidence::Restarted, now);
        else
            it = clear(it, "report");
    }
}

// A later start is believed once it is confirmed. While it is not, a server that tells another
// start than its entry has shown no more than that it works.
void SuspectedCrashes::recordReport(const BackendTable &servers, const ServerProbeResult &report,
                                    ReportedStart start, TimePoint now)
{
    if (start == ReportedStart::Unconfirmed)
        return;
    std::int64_t startedAtMs = report.startedAtMs;
    const auto current = servers.server(report.serverId, now);
    if (start == ReportedStart::Accepted && current)
        startedAtMs = std::min(startedAtMs, current->info.startedAtMs);
    recordReport(report.serverId, startedAtMs, now);
}

void SuspectedCrashes::update(const BackendTable &servers, TimePoint now)
{
    std::erase_if(m_crashed, [now](const auto &crashed) {
        return now - crashed.second.provenAt >= crashMemory;
    });
    for (auto it = m_suspicions.begin(); it != m_suspicions.end();) {
        const BackendInfo &server = it->second.server;
        const auto current = servers.server(server.id, now);
        if (!current)
            it = confirm(it, CrashEvidence::Lapsed, now);
        else if (server.startedAtMs > 0 && current->info.startedAtMs > server.startedAtMs)
            it = confirm(it, CrashEvidence::Restarted, now);
        else
            (it++)->second.isLeaving = current->isLeaving;
    }
}

std::vector<BackendState> SuspectedCrashes::takeDueProbes(const BackendTable &servers,
                                                          TimePoint now)
{
    std::vector<BackendState> due;
    for (auto &[incarnation, suspicion] : m_suspicions) {
        if (suspicion.isProbing || now - suspicion.probedAt < probeInterval
            || due.size() >= maxProbesAtOnce)
            continue;
        auto server = servers.server(suspicion.server.id, now);
        if (!server)
            continue;
        suspicion.isProbing = true;
        suspicion.probedAt = now;
        server->info = suspicion.server;
        due.push_back(std::move(*server));
    }
    return due;
}

void SuspectedCrashes::recordProbed(const BackendInfo &server,
                                    std::span<const ServerProbeResult> reports,
                                    BackendTable &servers, TimePoint now)
{
    for (const ServerProbeResult &report : reports) {
        const ReportedStart start = servers.recordReport(report.serverId, report.startedAtMs, now);
        recordReport(servers, report, start, now);
        if (start == ReportedStart::Accepted)
            servers.recordContact(report.serverId, now);
    }
    // A suspicion that outlasts an answer needs another one.
    if (!reports.empty())
        return recordNotProbed(server);
    recordProbed(server, now);
}

void SuspectedCrashes::recordProbed(const BackendInfo &server, TimePoint now)
{
    const auto found = m_suspicions.find(incarnationOf(server));
    if (found == m_suspicions.end())
        return;
    Suspicion &suspicion = found->second;
    const bool wasProbing = std::exchange(suspicion.isProbing, false);
    const TimePoint askedAt = wasProbing ? suspicion.probedAt : now;
    suspicion.unansweredSince = std::min(suspicion.unansweredSince, askedAt);
    if (askedAt - suspicion.suspectedAt >= maxSoundSilence)
        confirm(found, CrashEvidence::Silent, now);
}

void SuspectedCrashes::recordNotProbed(const BackendInfo &server)
{
    const auto found = m_suspicions.find(incarnationOf(server));
    if (found != m_suspicions.end())
        found->second.isProbing = false;
}

bool SuspectedCrashes::hasCrashed(const BackendInfo &server) const
{
    return m_crashed.contains(incarnationOf(server));
}

SuspectedCrashes::Suspicions::iterator
SuspectedCrashes::confirm(Suspicions::iterator suspicion, CrashEvidence evidence, TimePoint now)
{
    // A planned stop ends a server, too.
    const bool isEnd = evidence != CrashEvidence::Silent;
    if (isEnd && suspicion->second.isLeaving)
        return clear(suspicion, "leaving");
    const std::string incarnation = suspicion->first;
    Suspicion proven = std::move(suspicion->second);
    const auto next = m_suspicions.erase(suspicion);
    const TimePoint downSince = std::min(proven.unansweredSince, now);
    recordCrashed(incarnation, {evidence, proven.silentSince, downSince, now});
    accuse({std::move(proven.server), std::move(proven.requests), proven.silentSince, evidence},
           now);
    return next;
}

// The failure counted until now, so that the loss of a zone accused nobody.
SuspectedCrashes::Suspicions::iterator SuspectedCrashes::clear(Suspicions::iterator suspicion,
                                                               std::string_view sign)
{
    m_quarantine.withdrawFailure(suspicion->first);
    if (m_hooks.onCleared)
        m_hooks.onCleared(suspicion->second.server, sign);
    return m_suspicions.erase(suspicion);
}

void SuspectedCrashes::recordCrashed(const std::string &incarnation, const ProvenCrash &crash)
{
    m_crashed.emplace(incarnation, crash);
    if (m_crashed.size() > maxCrashed)
        m_crashed.erase(std::min_element(m_crashed.begin(), m_crashed.end(),
                                         [](const auto &one, const auto &other) {
                                             return one.second.provenAt < other.second.provenAt;
                                         }));
}

void SuspectedCrashes::reportCrash(const SuspectCrash &crash, const CrashVerdict &verdict)
{
    const auto crashed = m_crashed.find(incarnationOf(crash.server));
    const bool isReported =
        crashed != m_crashed.end() && std::exchange(crashed->second.isReported, true);
    if (!isReported && m_hooks.onCrash)
        m_hooks.onCrash(crash.server, crash.evidence, verdict);
}

} // namespace foxtailring
