#include "CrashProber.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/gateway/GatewayRequest.h"

#include "GatewayParts.h"
#include "ServerProbe.h"

#include <chrono>
#include <memory>
#include <utility>

namespace foxtailring {

namespace {

// Two round trips between regions, and time for a busy server to answer.
constexpr std::chrono::milliseconds probeTimeout {250};

} // namespace

CrashProber::CrashProber(GatewayParts &parts)
    : m_parts(parts)
{
    CrashChecks::Hooks hooks;
    hooks.ask = [&parts](std::uint64_t check, std::vector<BackendState> servers) {
        askZone(parts, check, std::move(servers));
    };
    hooks.onZoneAsked = [&parts](const BackendInfo &failed, std::size_t asked,
                                 std::size_t unanswered) {
        reportZone(parts, failed, asked, unanswered);
    };
    parts.crashChecks.setHooks(std::move(hooks));
}

void CrashProber::step(TimePoint now)
{
    m_parts.suspectedCrashes.update(m_parts.servers, now);
    for (const BackendState &server :
         m_parts.suspectedCrashes.takeDueProbes(m_parts.servers, now)) {
        if (m_parts.admission.tryAcquire(server.info.id, now))
            probe(server);
        else
            m_parts.suspectedCrashes.recordNotProbed(server.info);
    }
}

void CrashProber::probe(const BackendState &server)
{
    send(m_parts, {server}, [&parts = m_parts, server](std::span<const ServerProbeResult> reports) {
        onProbed(parts, server, reports);
    });
}

void CrashProber::send(GatewayParts &parts, std::vector<BackendState> servers, ProbeHook hook)
{
    ProbeServers probe;
    probe.servers = std::move(servers);
    probe.timeout = probeTimeout;
    probe.useNewConnections = true;
    std::make_shared<ServerProbe>(parts, GatewayRequest {}, std::move(probe), std::move(hook))
        ->start();
}

void CrashProber::onProbed(GatewayParts &parts, const BackendState &server,
                           std::span<const ServerProbeResult> reports)
{
    parts.suspectedCrashes.recordProbed(server.info, reports, parts.servers, parts.clock());
}

void CrashProber::askZone(GatewayParts &parts, std::uint64_t check,
                          std::vector<BackendState> servers)
{
    const TimePoint now = parts.clock();
    std::erase_if(servers, [&](const BackendState &server) {
        return !parts.admission.tryAcquire(server.info.id, now);
    });
    if (servers.empty())
        return parts.queue.post([&parts, check] { onZoneAnswered(parts, check, {}, {}); });
    const auto hook = [&parts, check, servers](std::span<const ServerProbeResult> reports) {
        onZoneAnswered(parts, check, servers, reports);
    };
    send(parts, servers, hook);
}

void CrashProber::onZoneAnswered(GatewayParts &parts, std::uint64_t check,
                                 std::span<const BackendState> asked,
                                 std::span<const ServerProbeResult> reports)
{
    const TimePoint now = parts.clock();
    for (const ServerProbeResult &report : reports) {
        const ReportedStart start =
            parts.servers.recordReport(report.serverId, report.startedAtMs, now);
        parts.suspectedCrashes.recordReport(parts.servers, report, start, now);
        if (start == ReportedStart::Accepted)
            parts.servers.recordContact(report.serverId, now);
    }
    parts.crashChecks.recordAnswers(check, asked, reports, now);
}

void CrashProber::reportZone(GatewayParts &parts, const BackendInfo &failed, std::size_t asked,
                             std::size_t unanswered)
{
    parts.metrics.add("gateway_zones_asked_total");
    StructuredLog::info("zoneAsked",
                        {{"zone", failed.availabilityZone},
                         {"service", failed.service},
                         {"server", failed.id},
                         {"asked", std::to_string(asked)},
                         {"failed", std::to_string(unanswered)}});
}

} // namespace foxtailring
