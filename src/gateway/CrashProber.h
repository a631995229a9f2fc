#pragma once

#include "foxtailring/base/Clock.h"

#include <span>

namespace foxtailring {

struct BackendState;
struct GatewayParts;
struct ServerProbeResult;

/// \brief Asks servers that may have crashed whether they live, once nobody else does.
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
    void probe(const BackendState &server);
    static void onProbed(GatewayParts &parts, const BackendState &server,
                         std::span<const ServerProbeResult> reports);

    GatewayParts &m_parts;
};

} // namespace foxtailring
