#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace foxtailring {

struct BackendInfo;

struct BackendState;
struct GatewayParts;
struct ServerProbeResult;

/// \brief Asks servers that may have crashed whether they live, once nobody else does, and others
/// in their zone whether they failed, too.
///
/// Runs on the gateway's queue.
class CrashProber
{
public:
    /// \param parts must outlive the prober and its probes
    explicit CrashProber(GatewayParts &parts);

    /// \brief Applies the server list and sends the probes that are due. To be called regularly.
    void step(TimePoint now);

private:
    using ProbeHook = std::function<void(std::span<const ServerProbeResult> reports)>;

    void probe(const BackendState &server);
    static void onProbed(GatewayParts &parts, const BackendState &server,
                         std::span<const ServerProbeResult> reports);
    static void askZone(GatewayParts &parts, std::uint64_t check,
                        std::vector<BackendState> servers);
    static void onZoneAnswered(GatewayParts &parts, std::uint64_t check,
                               std::span<const BackendState> asked,
                               std::span<const ServerProbeResult> reports);
    static void reportZone(GatewayParts &parts, const BackendInfo &failed, std::size_t asked,
                           std::size_t unanswered);
    static void send(GatewayParts &parts, std::vector<BackendState> servers, ProbeHook hook);

    GatewayParts &m_parts;
};

} // namespace foxtailring
