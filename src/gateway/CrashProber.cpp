#include "CrashProber.h"

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
    ProbeServers probe;
    probe.servers = {server};
    probe.timeout = probeTimeout;
    probe.useNewConnections = true;
    const auto hook = [&parts = m_parts, server](std::span<const ServerProbeResult> reports) {
        onProbed(parts, server, reports);
    };
    std::make_shared<ServerProbe>(m_parts, GatewayRequest {}, std::move(probe), hook)->start();
}

void CrashProber::onProbed(GatewayParts &parts, const BackendState &server,
                           std::span<const ServerProbeResult> reports)
{
    parts.suspectedCrashes.recordProbed(server.info, reports, parts.servers, parts.clock());
}

} // namespace foxtailring
