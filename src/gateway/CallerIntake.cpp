#include "CallerIntake.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/transport/Http1Responder.h"

#include "GatewayParts.h"
#include "Refusal.h"
#include "RequestRelay.h"

#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// Another gateway answers the next attempt, so callers of one that cannot serve return soon.
constexpr milliseconds otherGatewayRetry {100};
constexpr milliseconds otherGatewaySpread {200};

void refuse(GatewayParts &parts, Http1Responder &responder, std::string_view requestId, int status,
            std::string_view cause)
{
    Refuse refusal;
    refusal.status = status;
    refusal.cause = cause;
    if (status == 503)
        refusal.retryAfter =
            otherGatewayRetry + milliseconds(parts.random.bounded(otherGatewaySpread.count()));
    const auto keyAge = parts.keys.age(parts.clock());
    StructuredLog::info(
        "refused",
        {{"request", std::string(requestId)},
         {"status", std::to_string(status)},
         {"cause", std::string(cause)},
         {"config", parts.routes ? std::to_string(parts.routes->version()) : "none"},
         {"storeProofAgeMs",
          keyAge ? std::to_string(std::chrono::duration_cast<milliseconds>(*keyAge).count())
                 : "none"}});
    parts.metrics.add("gateway_refused_total{cause=\"" + std::string(cause) + "\"}");
    responder.respond(refusalResponse(requestId, refusal));
}

} // namespace

CallerIntake::CallerIntake(GatewayParts &parts)
    : m_parts(parts)
    , m_start(parts.clock(), parts.settings.startWait)
    , m_startTimer(parts.pool)
{
}

void CallerIntake::handle(HttpRequest request, std::shared_ptr<Http1Responder> responder)
{
    m_parts.queue.post([this, request = std::move(request), responder = std::move(responder),
                        arrivedAt = m_parts.clock()]() mutable {
        take(std::move(request), std::move(responder), arrivedAt);
    });
}

bool CallerIntake::isServing() const
{
    const bool isKnown = m_parts.routes && m_parts.isListed;
    const bool needsKeys = isKnown && m_parts.routes->config().hasAccounts;
    return isKnown && !m_drain.isDraining()
        && (!needsKeys || m_parts.keys.isFresh(m_parts.clock()));
}

void CallerIntake::take(HttpRequest request, std::shared_ptr<Http1Responder> responder,
                        TimePoint arrivedAt)
{
    auto decoded = m_parts.wire.decodeRequest(std::move(request));
    if (!decoded) {
        StructuredLog::info("requestMalformed", {{"message", decoded.error().message}});
        return refuse(m_parts, *responder, "", 400, "malformed");
    }
    admit({std::move(decoded).value(), std::move(responder), arrivedAt});
}

void CallerIntake::admit(Arrival arrival)
{
    if (m_parts.routes && m_parts.isListed)
        return serve(std::move(arrival));
    if (m_start.mayWait(m_waiting.size(), m_parts.clock()))
        return keep(std::move(arrival));
    refuse(m_parts, *arrival.responder, arrival.request.id, 503,
           m_parts.routes ? "noServerList" : "noConfiguration");
}

void CallerIntake::keep(Arrival arrival)
{
    StructuredLog::info("waitsForStart", {{"request", arrival.request.id}});
    m_waiting.push_back(std::move(arrival));
    if (m_waiting.size() > 1)
        return;
    const auto wait = std::chrono::ceil<milliseconds>(m_start.end() - m_parts.clock());
    m_startTimer.once(wait, [this] { m_parts.queue.post([this] { storeRead(); }); });
}

void CallerIntake::storeRead()
{
    for (Arrival &arrival : std::exchange(m_waiting, {}))
        admit(std::move(arrival));
}

void CallerIntake::serve(Arrival arrival)
{
    CallerRequest &request = arrival.request;
    const std::shared_ptr<Http1Responder> responder = std::move(arrival.responder);
    const TimePoint arrivedAt = arrival.at;
    const std::shared_ptr<const RouteTable> table = m_parts.routes;
    const HttpRoute *route = table->route(request.host, request.path);
    if (!route)
        return refuse(m_parts, *responder, request.id, 404, "noRoute");
    if (!m_drain.accepts(route->kind, arrivedAt))
        return refuse(m_parts, *responder, request.id, 503, "draining");
    std::string account;
    if (table->config().hasAccounts && !route->isPublic) {
        // A key that was withdrawn unheard of must not be accepted, nor a new one be rejected.
        if (!m_parts.keys.isFresh(arrivedAt))
            return refuse(m_parts, *responder, request.id, 503, "keysNotProved");
        const KeyedAccount *holder = table->account(request.key);
        if (!holder)
            return refuse(m_parts, *responder, request.id, 401, "unknownKey");
        account = holder->name;
    }
    std::make_shared<RequestRelay>(m_parts, std::move(request), table, *route, std::move(account),
                                   responder, arrivedAt)
        ->start();
}

} // namespace foxtailring
