#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"
#include "foxtailring/transport/Timer.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace foxtailring {

struct BackendInfo;
struct BackendState;
struct GatewayRequest;
struct GatewayParts;
struct HttpResponse;

/// \brief Sends one probe to each of several engines, and calls the hook once with the reports that
/// arrived in time.
///
/// Later answers are still read for pauses: otherwise a server that answers late would be probed
/// again and again in its pause. Runs on the gateway's queue; the requests in flight keep it alive.
class ServerProbe : public std::enable_shared_from_this<ServerProbe>
{
public:
    using Hook = std::function<void(std::span<const ServerProbeResult>)>;

    /// \param request the one whose run or prompt is looked up
    ServerProbe(GatewayParts &parts, const GatewayRequest &request, ProbeServers probe, Hook hook);

    void start();

private:
    void startTimer();
    void onTimeout();
    void sendProbe(const BackendState &server);
    Result<ServerProbeResult> decode(const HttpResponse &response) const;
    void end();
    void onResponse(const BackendInfo &server, const Result<HttpResponse> &response);

    GatewayParts &m_parts;
    const std::string m_requestId;
    const std::string m_promptId;
    const ProbeServers m_probe;
    const Hook m_hook;
    std::vector<ServerProbeResult> m_reports;
    Timer m_timer;
    TimePoint m_dueAt;
    bool m_isExtended = false;
    std::size_t m_open = 0; ///< probes in flight
    bool m_isOver = false;  ///< the hook was called
};

} // namespace foxtailring
