#include "foxtailring/sidecar/AdminServer.h"

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/decisions/configuration/ConfigState.h"
#include "foxtailring/decisions/membership/DrainState.h"
#include "foxtailring/sidecar/SidecarSettings.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Server.h"

namespace foxtailring {

namespace {

HttpResponse plainText(int status, std::string body)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

HttpResponse readiness(const SidecarContext &context)
{
    if (!context.drain->takesNewWork())
        return plainText(503, "draining\n");
    if (context.settings->requireConfig && context.config->revision() == 0)
        return plainText(503, "no configuration\n");
    return plainText(200, "ready\n");
}

HttpResponse metrics(const SidecarContext &context)
{
    return {200,
            {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}},
            context.metrics->prometheusText()};
}

HttpResponse answer(const SidecarContext &context, const std::function<void()> &drain,
                    const HttpRequest &request)
{
    if (request.target == "/drain") {
        if (request.method != "POST")
            return plainText(405, "use POST\n");
        drain();
        return plainText(202, "draining\n");
    }
    if (request.method != "GET")
        return plainText(405, "use GET\n");
    if (request.target == "/metrics")
        return metrics(context);
    if (request.target == "/healthz")
        return plainText(200, "ok\n");
    if (request.target == "/readyz")
        return readiness(context);
    return plainText(404, "not found\n");
}

} // namespace

AdminServer::AdminServer(const SidecarContext &context, std::function<void()> drain)
    : m_server(std::make_unique<Http1Server>(
        context.pool, context.settings->admin, HttpLimits {},
        [context, drain = std::move(drain)](const HttpRequest &request,
                                            const std::shared_ptr<Http1Responder> &responder) {
            responder->respond(answer(context, drain, request));
        }))
{
}

AdminServer::~AdminServer() = default;

Result<std::uint16_t> AdminServer::listen()
{
    return m_server->listen();
}

void AdminServer::close()
{
    m_server->close();
}

} // namespace foxtailring
