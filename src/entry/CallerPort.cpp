#include "CallerPort.h"

#include "foxtailring/entry/Problem.h"
#include "foxtailring/transport/Http1Responder.h"

#include "CallerRequest.h"
#include "EntryParts.h"
#include "foxtailring/base/ThreadLocalRandom.h"
#include "KeyDigest.h"
#include "RefusalOutcome.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

TraceContext traceOf(const HttpRequest &request)
{
    const auto caller = TraceContext::parse(request.header("traceparent"));
    return caller ? caller->startSpan(threadLocalRandom())
                  : TraceContext::startTrace(threadLocalRandom());
}

nlohmann::json modelEntry(const std::string &name, const std::string &owner)
{
    return {{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", owner}};
}

} // namespace

CallerPort::CallerPort(EntryParts &parts)
    : m_parts(parts)
    , m_generations(parts)
    , m_calls(parts)
{
}

void CallerPort::handle(HttpRequest request, const std::shared_ptr<Http1Responder> &responder)
{
    m_parts.metrics.add("requests_total");
    const std::string_view outcome = refusalOutcome(request);
    auto identified = identify(std::move(request), responder);
    if (identified) {
        dispatch(std::move(identified).value());
        return;
    }
    m_parts.metrics.add("requests_refused_total{code=\""
                        + std::string(errorCodeName(identified.error().code)) + "\"}");
    responder->respond(
        Problem::of(identified.error(), outcome, {}, m_parts.settings.retryAfter).response());
}

Result<CallerRequest> CallerPort::identify(HttpRequest request,
                                           const std::shared_ptr<Http1Responder> &responder) const
{
    if (m_refusing)
        return Error {ErrorCode::Draining, "this entry is being shut down"};
    auto config = m_parts.config.snapshot();
    if (config->revision == 0)
        return Error {ErrorCode::Unavailable, "this entry has no configuration yet"};
    auto found = account(*config, request);
    if (!found)
        return found.error();
    TraceContext trace = traceOf(request);
    return CallerRequest {std::move(request), responder, std::move(config),
                          std::move(found).value(), std::move(trace)};
}

Result<ClientAccountResource> CallerPort::account(const ConfigSnapshot &config,
                                                  const HttpRequest &request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view authorization = request.header("Authorization");
    if (!authorization.starts_with(scheme))
        return Error {ErrorCode::Unauthorized, "the Authorization header must be Bearer KEY"};
    const auto *found = config.accountByKeyHash(sha256Hex(authorization.substr(scheme.size())));
    if (!found)
        return Error {ErrorCode::Unauthorized, "no client account has this key"};
    return *found;
}

void CallerPort::dispatch(CallerRequest request)
{
    const std::string path(pathOf(request.http.target));
    const std::string method = request.http.method;
    if (path.starts_with(CallPort::prefix))
        return m_calls.handle(std::move(request));
    if (method == "POST" && path == "/v1/completions")
        return m_generations.handle(std::move(request), false);
    if (method == "POST" && path == "/v1/chat/completions")
        return m_generations.handle(std::move(request), true);
    if (method == "GET" && path == "/v1/models")
        return listModels(request);
    const Error error {ErrorCode::NotFound, "there is no " + method + ' ' + path};
    request.responder->respond(Problem {error}.response());
}

void CallerPort::listModels(const CallerRequest &request) const
{
    nlohmann::json data = nlohmann::json::array();
    for (const auto &[name, service] : request.config->services) {
        if (!request.account.mayUse(name))
            continue;
        for (const std::string &model : service.models)
            data.push_back(modelEntry(model, name));
    }
    for (const auto &[name, adapter] : request.config->adapters) {
        const auto *service = request.config->serviceForModel(name);
        if (service && request.account.mayUse(service->name))
            data.push_back(modelEntry(name, service->name));
    }
    const nlohmann::json body {{"object", "list"}, {"data", std::move(data)}};
    request.responder->respond(
        {200,
         {{"Content-Type", "application/json"}, {"traceparent", request.trace.toHeader()}},
         body.dump()});
}

} // namespace foxtailring
