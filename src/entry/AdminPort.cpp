#include "AdminPort.h"

#include "foxtailring/entry/Problem.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/HttpRequest.h"

#include "EntryParts.h"

namespace foxtailring {

namespace {

HttpResponse text(int status, std::string body)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

} // namespace

AdminPort::AdminPort(EntryParts &parts, std::function<bool()> isReady)
    : m_parts(parts)
    , m_isReady(std::move(isReady))
{
}

void AdminPort::setOperatorHandler(Handler handler)
{
    const std::lock_guard lock(m_mutex);
    m_operatorHandler = std::move(handler);
}

void AdminPort::handle(HttpRequest request, std::shared_ptr<Http1Responder> responder)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path.starts_with("/operator/")) {
        Handler handler;
        {
            const std::lock_guard lock(m_mutex);
            handler = m_operatorHandler;
        }
        if (handler)
            return handler(std::move(request), std::move(responder));
    }
    if (path == "/metrics") {
        publishGauges();
        return responder->respond(text(200, m_parts.metrics.prometheusText()));
    }
    if (path == "/healthz")
        return responder->respond(text(200, "ok\n"));
    if (path == "/readyz")
        return responder->respond(m_isReady() ? text(200, "ready\n") : text(503, "not ready\n"));
    responder->respond(
        Problem {{ErrorCode::NotFound, "there is no " + request.method + ' ' + path}}.response());
}

void AdminPort::publishGauges()
{
    m_parts.metrics.setGauge("generations_in_progress",
                             static_cast<double>(m_parts.generations.size()));
    m_parts.metrics.setGauge("config_revision", static_cast<double>(m_parts.config.revision()));
    m_parts.metrics.setGauge("servers_known", static_cast<double>(m_parts.servers.size()));
}

} // namespace foxtailring
