#include "ServerQuery.h"

#include "foxtailring/gateway/GatewayRequest.h"
#include "foxtailring/transport/Endpoint.h"

#include "GatewayParts.h"

namespace foxtailring {

namespace {

// A few hundred runs or parts of prompts.
constexpr std::size_t maxReportBytes = 128 * 1024;

} // namespace

ServerQuery::ServerQuery(GatewayParts &parts, const GatewayRequest &request, ProbeServers query,
                         Hook hook)
    : m_parts(parts)
    , m_requestId(request.id)
    , m_promptId(request.promptId)
    , m_query(std::move(query))
    , m_hook(std::move(hook))
{
}

void ServerQuery::start()
{
    m_pendingCount = m_query.servers.size();
    for (const BackendState &server : m_query.servers)
        sendQuery(server);
}

void ServerQuery::sendQuery(const BackendState &server)
{
    const std::string id = server.info.id;
    const auto hook = [self = shared_from_this(), id](const Result<HttpResponse> &response) {
        self->m_parts.queue.post([self, id, response] { self->onResponse(id, response); });
    };
    const auto endpoint = Endpoint::parse(server.info.address);
    if (!endpoint)
        return hook(endpoint.error());
    m_parts.metrics.add("gateway_questions_total");
    ExchangeOptions options = ExchangeOptions::pooled();
    options.mostBodyBytes = maxReportBytes;
    options.connectTimeout = m_query.timeout;
    if (m_query.useNewConnections)
        options.reuseWithin = std::chrono::milliseconds(0);
    const bool isPromptQuery = m_query.subject == ProbeServers::Subject::Prompt;
    HttpRequest request =
        isPromptQuery ? m_parts.codec.encodePromptQuery() : m_parts.codec.encodeLoadQuery();
    m_parts.http.request(endpoint.value(), std::move(request), m_query.timeout, hook, options);
}

Result<ServerProbeResult> ServerQuery::decode(const HttpResponse &response) const
{
    return m_query.subject == ProbeServers::Subject::Prompt
        ? m_parts.codec.decodePromptList(response, m_promptId)
        : m_parts.codec.decodeLoadReport(response, m_requestId);
}

void ServerQuery::onResponse(const std::string &serverId, const Result<HttpResponse> &response)
{
    --m_pendingCount;
    auto report = response ? decode(response.value()) : Result<ServerProbeResult>(response.error());
    if (report) {
        report.value().serverId = serverId;
        m_reports.push_back(std::move(report).value());
    } else {
        m_parts.metrics.add("gateway_questions_unanswered_total{error=\""
                            + std::string(errorCodeName(report.error().code)) + "\"}");
    }
    if (m_pendingCount == 0)
        m_hook(m_reports);
}

} // namespace foxtailring
