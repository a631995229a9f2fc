#include "QuestionRound.h"

#include "foxtailring/gateway/CallerRequest.h"
#include "foxtailring/transport/Endpoint.h"

#include "GatewayParts.h"

namespace foxtailring {

namespace {

// A few hundred runs or parts of prompts.
constexpr std::size_t mostReportBytes = 128 * 1024;

} // namespace

QuestionRound::QuestionRound(GatewayParts &parts, const CallerRequest &request,
                             ProbeServers question, Hook hook)
    : m_parts(parts)
    , m_requestId(request.id)
    , m_promptId(request.promptId)
    , m_question(std::move(question))
    , m_hook(std::move(hook))
{
}

void QuestionRound::start()
{
    m_open = m_question.servers.size();
    for (const BackendState &server : m_question.servers)
        ask(server);
}

void QuestionRound::ask(const BackendState &server)
{
    const std::string id = server.info.id;
    const auto hook = [self = shared_from_this(), id](const Result<HttpResponse> &response) {
        self->m_parts.queue.post([self, id, response] { self->answered(id, response); });
    };
    const auto endpoint = Endpoint::parse(server.info.address);
    if (!endpoint)
        return hook(endpoint.error());
    m_parts.metrics.add("gateway_questions_total");
    ExchangeOptions options = ExchangeOptions::pooled();
    options.mostBodyBytes = mostReportBytes;
    options.connectTimeout = m_question.timeout;
    if (m_question.useNewConnections)
        options.reuseWithin = std::chrono::milliseconds(0);
    const bool isOfPrompt = m_question.subject == ProbeServers::Subject::Prompt;
    HttpRequest request =
        isOfPrompt ? m_parts.wire.encodePromptQuestion() : m_parts.wire.encodeQuestion();
    m_parts.http.request(endpoint.value(), std::move(request), m_question.timeout, hook, options);
}

Result<ServerProbeResult> QuestionRound::decode(const HttpResponse &response) const
{
    return m_question.subject == ProbeServers::Subject::Prompt
        ? m_parts.wire.decodePrompts(response, m_promptId)
        : m_parts.wire.decodeReport(response, m_requestId);
}

void QuestionRound::answered(const std::string &serverId, const Result<HttpResponse> &response)
{
    --m_open;
    auto report = response ? decode(response.value()) : Result<ServerProbeResult>(response.error());
    if (report) {
        report.value().serverId = serverId;
        m_reports.push_back(std::move(report).value());
    } else {
        m_parts.metrics.add("gateway_questions_unanswered_total{error=\""
                            + std::string(errorCodeName(report.error().code)) + "\"}");
    }
    if (m_open == 0)
        m_hook(m_reports);
}

} // namespace foxtailring
