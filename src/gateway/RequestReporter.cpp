#include "RequestReporter.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/decisions/configuration/HttpRoute.h"
#include "foxtailring/decisions/configuration/RouteTable.h"
#include "foxtailring/gateway/GatewayRequest.h"

#include "DurationText.h"
#include "GatewayParts.h"
#include "ServerAttempt.h"

#include <chrono>
#include <string>

namespace foxtailring {

namespace {

std::string joined(std::span<const std::string> names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ",") + name;
    return text;
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string summaryOf(std::span<const ServerProbeResult> results)
{
    std::string summary;
    for (const ServerProbeResult &report : results)
        summary += report.serverId + " running " + std::to_string(report.load.running) + " waiting "
            + std::to_string(report.load.waiting) + " reading "
            + std::to_string(report.load.prefilling) + " memory "
            + std::to_string(report.load.memoryUsedTokens)
            + (report.firstWaitingTokens ? " next " + std::to_string(*report.firstWaitingTokens)
                                         : "")
            + " events " + (report.hasRun ? std::to_string(report.eventCount) : "none")
            + (report.hasPrompt ? " prompt; " : "; ");
    return summary;
}

std::string figureText(const ReportedLoad::Figure &figure)
{
    return figure.value ? std::to_string(*figure.value) : "?";
}

// Running and waiting requests and slots, as the server told them.
std::string busyText(const BackendState &server)
{
    return figureText(server.reported.running) + '+' + figureText(server.reported.waiting) + '/'
        + figureText(server.reported.slots);
}

} // namespace

RequestReporter::RequestReporter(GatewayParts &parts, const GatewayRequest &request,
                                 const RouteTable &table, const HttpRoute &route,
                                 TimePoint arrivedAt)
    : m_parts(parts)
    , m_request(request)
    , m_table(table)
    , m_route(route)
    , m_arrivedAt(arrivedAt)
{
}

void RequestReporter::reportException(std::string_view message) const
{
    StructuredLog::warn("requestException",
                        {{"request", m_request.id}, {"message", std::string(message)}});
    m_parts.metrics.add("gateway_request_exceptions_total");
}

void RequestReporter::reportAttempt(const SendAttempt &next, std::uint64_t number) const
{
    constexpr std::string_view healthNames[] = {"sound", "doubtful", "suspected"};
    const BackendState &server = next.server;
    m_parts.metrics.add("gateway_attempts_total{cause=\"" + std::string(next.cause) + "\"}");
    StructuredLog::info("attempt",
                        {{"request", m_request.id},
                         {"number", std::to_string(number)},
                         {"server", server.info.id},
                         {"zone", server.info.availabilityZone},
                         {"cause", std::string(next.cause)},
                         {"trust", std::string(healthNames[static_cast<int>(server.health)])},
                         {"inFlight", std::to_string(server.inFlight)},
                         {"loadAgeMs", server.load ? msText(server.loadAge) : "none"},
                         {"busy", busyText(server)},
                         {"busyAgeMs", busyAgeText(server)},
                         {"pace", std::to_string(server.pace.relativeDuration)},
                         {"relativeRunTime", std::to_string(server.relativeRunTime)},
                         {"paceAgeMs", server.pace.toldAge ? msText(*server.pace.toldAge) : "none"},
                         {"fromCopy", next.fromCopy ? "true" : "false"},
                         {"promptTokens", std::to_string(m_request.promptTokens)},
                         {"outputTokens", std::to_string(m_request.maxOutputTokens)},
                         {"urgency", next.urgency ? std::to_string(*next.urgency) : "none"},
                         {"copyTo", next.copyTo ? next.copyTo->info.id : ""},
                         {"retriesLeft", retriesLeft(server.info.service)},
                         {"timeLeftMs", std::to_string(next.timeLeft.count())}});
}

void RequestReporter::reportDelay(const DelayAttempt &delay, const std::string &service) const
{
    m_parts.metrics.add("gateway_attempts_delayed_total{reason=\"" + std::string(delay.reason)
                        + "\"}");
    StructuredLog::info("attemptDelayed",
                        {{"request", m_request.id},
                         {"reason", std::string(delay.reason)},
                         {"retriesLeft", retriesLeft(service)},
                         {"ageMs", msText(age())}});
}

std::string RequestReporter::retriesLeft(const std::string &service) const
{
    return std::to_string(m_parts.retryBudget.remaining(service, m_parts.clock()));
}

void RequestReporter::reportFailure(const ServerAttempt &attempt, AttemptResult result) const
{
    StructuredLog::info("attemptFailed",
                        {{"request", m_request.id},
                         {"number", std::to_string(attempt.number)},
                         {"server", attempt.serverId},
                         {"result", std::string(attemptResultName(result))},
                         {"events", std::to_string(attempt.eventCount)},
                         {"promptParts", joined(m_request.sharedPromptParts)},
                         {"digest", m_request.contentDigest},
                         {"ageMs", msText(age())}});
}

void RequestReporter::reportRateLimit(const ServerAttempt &attempt) const
{
    const auto &limit = attempt.answer.rateLimit;
    m_parts.metrics.add(limit ? "gateway_limits_named_total{form=\"readable\"}"
                              : "gateway_limits_named_total{form=\"unreadable\"}");
    StructuredLog::info("limitNamed",
                        {{"request", m_request.id},
                         {"server", attempt.serverId},
                         {"limitPerSecond", limit ? std::to_string(*limit) : "unreadable"}});
}

void RequestReporter::reportUnreadableLoad(const ServerAttempt &attempt) const
{
    const std::uint32_t count = attempt.answer.load.unreadableCount;
    m_parts.metrics.add("gateway_load_figures_unreadable_total", count);
    StructuredLog::info("loadUnreadable",
                        {{"request", m_request.id},
                         {"server", attempt.serverId},
                         {"figures", std::to_string(count)}});
}

void RequestReporter::reportSecondAttempt(std::string_view answered) const
{
    m_parts.metrics.add("gateway_second_attempts_total{answered=\"" + std::string(answered)
                        + "\"}");
    StructuredLog::info("secondAttemptEnded",
                        {{"request", m_request.id},
                         {"answered", std::string(answered)},
                         {"tookMs", msText(age())}});
}

std::string RequestReporter::busyAgeText(const BackendState &server) const
{
    const ReportedLoad::Figure &running = server.reported.running;
    return running.value ? msText(m_parts.clock() - running.at) : "none";
}

void RequestReporter::reportProbe(std::span<const ServerProbeResult> results,
                                  std::uint64_t attemptNumber, std::int64_t lastEventId) const
{
    StructuredLog::info("serversAsked",
                        {{"request", m_request.id},
                         {"reports", summaryOf(results)},
                         {"attempt", std::to_string(attemptNumber)},
                         {"lastEvent", std::to_string(lastEventId)}});
}

void RequestReporter::reportResume(const ServerAttempt &attempt, Duration pause) const
{
    m_parts.metrics.observeSeconds("gateway_resume_seconds", secondsOf(pause));
    StructuredLog::info("resumed",
                        {{"request", m_request.id},
                         {"server", attempt.serverId},
                         {"fromCopy", attempt.isFromCopy ? "true" : "false"},
                         {"pauseMs", msText(pause)}});
}

void RequestReporter::reportFirstEvent() const
{
    m_parts.metrics.observeSeconds("gateway_first_event_seconds", secondsOf(age()));
}

void RequestReporter::reportFallbackResumed(const ServerAttempt &attempt,
                                            std::string_view cause) const
{
    m_parts.metrics.add("gateway_attempts_resumed_total{cause=\"" + std::string(cause) + "\"}");
    StructuredLog::info("attemptResumed",
                        {{"request", m_request.id},
                         {"number", std::to_string(attempt.number)},
                         {"server", attempt.serverId},
                         {"cause", std::string(cause)},
                         {"events", std::to_string(attempt.eventCount)},
                         {"ageMs", msText(age())}});
}

void RequestReporter::reportOverBudget(std::string_view what, std::string_view serverId,
                                       std::size_t bytes) const
{
    m_parts.metrics.add("gateway_too_large_total{what=\"" + std::string(what) + "\"}");
    StructuredLog::warn("answerTooLarge",
                        {{"request", m_request.id},
                         {"what", std::string(what)},
                         {"server", std::string(serverId)},
                         {"bytes", std::to_string(bytes)},
                         {"heldByAll", std::to_string(m_parts.memoryBudget.held())}});
}

void RequestReporter::reportEnd(const Outcome &outcome, std::string_view serverId,
                                std::uint64_t attemptCount) const
{
    m_parts.metrics.observeSeconds(m_route.kind == CallKind::Stream
                                       ? "gateway_answer_seconds{kind=\"stream\"}"
                                       : "gateway_answer_seconds{kind=\"call\"}",
                                   secondsOf(age()));
    m_parts.metrics.add("gateway_requests_total{outcome=\"" + std::string(outcome.name) + "\"}");
    StructuredLog::info("request",
                        {{"request", m_request.id},
                         {"outcome", std::string(outcome.name)},
                         {"cause", std::string(outcome.cause)},
                         {"status", std::to_string(outcome.status)},
                         {"route", m_route.name},
                         {"config", std::to_string(m_table.version())},
                         {"server", std::string(serverId)},
                         {"attempts", std::to_string(attemptCount)},
                         {"tookMs", msText(age())}});
}

Duration RequestReporter::age() const
{
    return m_parts.clock() - m_arrivedAt;
}

} // namespace foxtailring
