#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/ForwardAction.h"
#include "foxtailring/decisions/ServerProbeResult.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace foxtailring {

struct BackendState;
struct GatewayRequest;
struct GatewayParts;
struct HttpResponse;

/// \brief Asks several engines how they are doing, and reports once what came in time.
///
/// Runs on the queue of the gateway; the questions keep it alive.
class ServerProbe : public std::enable_shared_from_this<ServerProbe>
{
public:
    using Hook = std::function<void(std::span<const ServerProbeResult>)>;

    /// \param request whose run or prompt the engines are asked for
    ServerProbe(GatewayParts &parts, const GatewayRequest &request, ProbeServers probe, Hook hook);

    void start();

private:
    void sendProbe(const BackendState &server);
    Result<ServerProbeResult> decode(const HttpResponse &response) const;
    void onResponse(const std::string &serverId, const Result<HttpResponse> &response);

    GatewayParts &m_parts;
    const std::string m_requestId;
    const std::string m_promptId;
    const ProbeServers m_probe;
    const Hook m_hook;
    std::vector<ServerProbeResult> m_reports;
    std::size_t m_open = 0; ///< questions without an answer
};

} // namespace foxtailring
