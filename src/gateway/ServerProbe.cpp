#include "ServerProbe.h"

#include "foxtailring/gateway/GatewayRequest.h"
#include "foxtailring/transport/Endpoint.h"

#include "GatewayParts.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace foxtailring {

namespace {

// Enough for a list of a few hundred runs or prompt parts.
constexpr std::size_t maxReportBytes = 128 * 1024;
// Answers that come after the probe is over are read until then.
constexpr std::chrono::milliseconds lateAnswerTimeout {1000};
// A timer that fires this late shows that the process itself was paused or busy.
constexpr std::chrono::milliseconds maxOwnDelay {30};

} // namespace

ServerProbe::ServerProbe(GatewayParts &parts, const GatewayRequest &request, ProbeServers probe,
                         Hook hook)
    : m_parts(parts)
    , m_requestId(request.id)
    , m_promptId(request.promptId)
    , m_probe(std::move(probe))
    , m_hook(std::move(hook))
    , m_timer(parts.pool)
{
}

void ServerProbe::start()
{
    m_open = m_probe.servers.size();
    startTimer();
    for (const BackendState &server : m_probe.servers)
        sendProbe(server);
}

void ServerProbe::startTimer()
{
    m_dueAt = m_parts.clock() + m_probe.timeout;
    m_timer.once(m_probe.timeout, [self = shared_from_this()] {
        self->m_parts.queue.post([self] { self->onTimeout(); });
    });
}

// If this process was late itself, probes may not have been sent and answers not been read, so
// silence says nothing about the servers. They get the whole time once more.
void ServerProbe::onTimeout()
{
    const Duration delay = m_parts.clock() - m_dueAt;
    if (m_isOver || delay < maxOwnDelay || std::exchange(m_isExtended, true))
        return end();
    m_parts.metrics.add("gateway_questions_extended_total");
    startTimer();
}

void ServerProbe::sendProbe(const BackendState &server)
{
    const auto hook = [self = shared_from_this(),
                       info = server.info](const Result<HttpResponse> &response) {
        self->m_parts.queue.post([self, info, response] { self->onResponse(info, response); });
    };
    const auto endpoint = Endpoint::parse(server.info.address);
    if (!endpoint)
        return hook(endpoint.error());
    m_parts.metrics.add("gateway_questions_total");
    ExchangeOptions options = ExchangeOptions::pooled();
    options.maxBodyBytes = maxReportBytes;
    options.connectTimeout = std::max(m_probe.timeout, lateAnswerTimeout);
    if (m_probe.useNewConnections)
        options.maxIdleTime = std::chrono::milliseconds(0);
    const bool isPromptProbe = m_probe.subject == ProbeServers::Subject::Prompt;
    HttpRequest request =
        isPromptProbe ? m_parts.codec.encodePromptProbe() : m_parts.codec.encodeLoadProbe();
    m_parts.probeHttp.request(endpoint.value(), std::move(request),
                              std::max(m_probe.timeout, lateAnswerTimeout), hook, options);
}

// A report that the codec throws on is a malformed one: the hook waits for all reports.
Result<ServerProbeResult> ServerProbe::decode(const HttpResponse &response) const
{
    try {
        return m_probe.subject == ProbeServers::Subject::Prompt
            ? m_parts.codec.decodePromptList(response, m_promptId)
            : m_parts.codec.decodeLoadReport(response, m_requestId);
    } catch (const std::exception &exception) {
        return Error {ErrorCode::Malformed, exception.what()};
    }
}

void ServerProbe::onResponse(const BackendInfo &server, const Result<HttpResponse> &response)
{
    --m_open;
    auto report = response ? decode(response.value()) : Result<ServerProbeResult>(response.error());
    if (response && m_parts.recordPause(server, response.value())) {
        ServerProbeResult turnedAway;
        turnedAway.isTurnedAway = true;
        report = turnedAway;
    }
    if (m_isOver)
        report = Error {ErrorCode::Timeout, "the answer came after the probe was over"};
    if (report) {
        report.value().serverId = server.id;
        m_reports.push_back(std::move(report).value());
    } else {
        m_parts.metrics.add("gateway_questions_unanswered_total{error=\""
                            + std::string(errorCodeName(report.error().code)) + "\"}");
    }
    if (m_open == 0)
        end();
}

void ServerProbe::end()
{
    if (std::exchange(m_isOver, true))
        return;
    m_timer.cancel();
    m_hook(m_reports);
}

} // namespace foxtailring
