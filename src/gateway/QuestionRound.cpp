#include "QuestionRound.h"

#include "foxtailring/decisions/ForwardAction.h"
#include "foxtailring/transport/Endpoint.h"

#include "GatewayParts.h"

namespace foxtailring {

QuestionRound::QuestionRound(GatewayParts &parts, std::string requestId, Hook hook)
    : m_parts(parts)
    , m_requestId(std::move(requestId))
    , m_hook(std::move(hook))
{
}

void QuestionRound::start(const AskServers &question)
{
    m_open = question.servers.size();
    for (const BackendState &server : question.servers)
        ask(server, question);
}

void QuestionRound::ask(const BackendState &server, const AskServers &question)
{
    const std::string id = server.info.id;
    const auto hook = [self = shared_from_this(), id](const Result<HttpResponse> &response) {
        self->m_parts.queue.post([self, id, response] { self->answered(id, response); });
    };
    const auto endpoint = Endpoint::parse(server.info.address);
    if (!endpoint)
        return hook(endpoint.error());
    m_parts.counters.add("gateway_questions_total");
    ExchangeOptions options = ExchangeOptions::pooled();
    options.connectTimeout = question.within;
    if (question.onNewConnections)
        options.reuseWithin = std::chrono::milliseconds(0);
    m_parts.http.request(endpoint.value(), m_parts.wire.encodeQuestion(), question.within, hook,
                         options);
}

void QuestionRound::answered(const std::string &serverId, const Result<HttpResponse> &response)
{
    --m_open;
    auto report = response ? m_parts.wire.decodeReport(response.value(), m_requestId)
                           : Result<ServerReport>(response.error());
    if (report) {
        report.value().serverId = serverId;
        m_reports.push_back(std::move(report).value());
    } else {
        m_parts.counters.add("gateway_questions_unanswered_total{error=\""
                             + std::string(errorCodeName(report.error().code)) + "\"}");
    }
    if (m_open == 0)
        m_hook(m_reports);
}

} // namespace foxtailring
