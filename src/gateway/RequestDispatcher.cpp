#include "RequestDispatcher.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/protocol/RequestDigest.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/RequestMemory.h"

#include "GatewayParts.h"
#include "Refusal.h"
#include "RequestRelay.h"

#include <algorithm>
#include <array>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// Retry-After of a gateway that cannot serve: the delay is short because another gateway is likely
// to get the retry.
constexpr milliseconds minRetryAfter {100};
constexpr milliseconds retryAfterJitter {200};

void refuse(GatewayParts &parts, Http1Responder &responder, std::string_view requestId, int status,
            std::string_view cause)
{
    Refuse refusal;
    refusal.status = status;
    refusal.cause = cause;
    if (status == 503)
        refusal.retryAfter =
            minRetryAfter + milliseconds(parts.random.bounded(retryAfterJitter.count()));
    const auto keyAge = parts.keyFreshness.age(parts.clock());
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

// Repeats of a request have new ids, and may differ in headers such as the time that is left.
std::string contentDigest(const GatewayRequest &request, std::string_view account)
{
    const std::array<std::string_view, 5> fields {account, request.http.method, request.host,
                                                  request.http.target, request.http.body};
    return RequestDigest::of(fields);
}

} // namespace

RequestDispatcher::RequestDispatcher(GatewayParts &parts)
    : m_parts(parts)
    , m_startup(parts.clock(), parts.settings.maxStartupWait)
    , m_startupTimer(parts.pool)
{
}

void RequestDispatcher::handle(HttpRequest request, std::shared_ptr<Http1Responder> responder)
{
    m_parts.queue.post([this, request = std::move(request), responder = std::move(responder),
                        arrivedAt = m_parts.clock()]() mutable {
        decode(std::move(request), std::move(responder), arrivedAt);
    });
}

bool RequestDispatcher::isServing() const
{
    const bool isKnown = m_parts.routes && m_parts.hasServerList;
    const bool needsKeys = isKnown && m_parts.routes->config().hasAccounts;
    return isKnown && !m_drain.isDraining()
        && (!needsKeys || m_parts.keyFreshness.isFresh(m_parts.clock()));
}

void RequestDispatcher::decode(HttpRequest request, std::shared_ptr<Http1Responder> responder,
                               TimePoint arrivedAt)
{
    auto decoded = m_parts.codec.decodeRequest(std::move(request));
    if (!decoded) {
        StructuredLog::info("requestMalformed", {{"message", decoded.error().message}});
        return refuse(m_parts, *responder, "", 400, "malformed");
    }
    admit({std::move(decoded).value(), std::move(responder), arrivedAt});
}

void RequestDispatcher::admit(PendingRequest pending)
{
    if (m_parts.routes && m_parts.hasServerList)
        return serve(std::move(pending));
    if (m_startup.mayWait(m_pending.size(), m_parts.clock()))
        return enqueue(std::move(pending));
    refuse(m_parts, *pending.responder, pending.request.id, 503,
           m_parts.routes ? "noServerList" : "noConfiguration");
}

void RequestDispatcher::enqueue(PendingRequest pending)
{
    StructuredLog::info("waitsForStart", {{"request", pending.request.id}});
    m_pending.push_back(std::move(pending));
    if (m_pending.size() > 1)
        return;
    const auto wait = std::chrono::ceil<milliseconds>(m_startup.end() - m_parts.clock());
    m_startupTimer.once(wait, [this] { m_parts.queue.post([this] { onStoreRead(); }); });
}

void RequestDispatcher::onStoreRead()
{
    for (PendingRequest &pending : std::exchange(m_pending, {}))
        admit(std::move(pending));
}

DrainAdmission::Request RequestDispatcher::drainRequest(const GatewayRequest &request,
                                                        const HttpRoute &route,
                                                        const RouteTable &table,
                                                        TimePoint arrivedAt) const
{
    DrainAdmission::Request drained;
    drained.kind = route.kind;
    drained.timeLimit = std::min(route.timeout, request.timeout.value_or(route.timeout));
    drained.objective = route.latencyObjective;
    drained.usualDuration = route.kind == CallKind::Stream
        ? usualRunDuration(request, route, table)
        : m_parts.answerTimes.longest(route.name, arrivedAt);
    return drained;
}

// The session chooses the service, so the slowest one counts.
std::optional<Duration> RequestDispatcher::usualRunDuration(const GatewayRequest &request,
                                                            const HttpRoute &route,
                                                            const RouteTable &table) const
{
    std::optional<Duration> usual;
    for (const RouteTarget &target : route.targets) {
        const RoutedService *service = table.service(target.service);
        if (!service || request.maxOutputTokens == 0)
            return std::nullopt;
        const std::uint64_t events =
            request.maxOutputTokens / std::max<std::uint64_t>(service->tokensPerEvent, 1);
        const auto duration = m_parts.latency.usualRunDuration(
            target.service, request.promptTokens,
            static_cast<std::int64_t>(events) - request.lastEventId.value_or(0));
        if (!duration)
            return std::nullopt;
        usual = std::max(usual.value_or(*duration), *duration);
    }
    return usual;
}

// A request that the end of the process cut off would leave its caller without an answer. A stream
// must not begin at another server too late, after servers have rejected it or kept it waiting:
// once its answer has begun, it can no longer be refused.
void RequestDispatcher::limitTime(GatewayRequest &request, const DrainAdmission::Request &drained,
                                  TimePoint arrivedAt) const
{
    const auto left = m_drain.timeLimit(arrivedAt);
    if (!left)
        return;
    request.minAttemptTime = m_drain.minAttemptTime(drained, arrivedAt);
    const auto limit = std::chrono::duration_cast<milliseconds>(*left);
    request.timeout = std::min(request.timeout.value_or(limit), limit);
}

bool RequestDispatcher::admitToDrain(GatewayRequest &request, const HttpRoute &route,
                                     const RouteTable &table, TimePoint arrivedAt) const
{
    const DrainAdmission::Request drained = drainRequest(request, route, table, arrivedAt);
    if (!m_drain.accepts(drained, arrivedAt))
        return false;
    limitTime(request, drained, arrivedAt);
    return true;
}

void RequestDispatcher::serve(PendingRequest pending)
{
    GatewayRequest &request = pending.request;
    const std::shared_ptr<Http1Responder> responder = std::move(pending.responder);
    const TimePoint arrivedAt = pending.arrivedAt;
    const std::shared_ptr<const RouteTable> table = m_parts.routes;
    const HttpRoute *route = table->route(request.host, request.path);
    if (!route)
        return refuse(m_parts, *responder, request.id, 404, "noRoute");
    if (m_drain.isDraining() && !admitToDrain(request, *route, *table, arrivedAt))
        return refuse(m_parts, *responder, request.id, 503, "draining");
    std::string account;
    if (table->config().hasAccounts && !route->isPublic) {
        // Without a recent proof from the store this gateway may have missed a change: it would
        // accept a withdrawn key or reject a new one.
        if (!m_parts.keyFreshness.isFresh(arrivedAt))
            return refuse(m_parts, *responder, request.id, 503, "keysNotProved");
        const KeyedAccount *holder = table->account(request.apiKey);
        if (!holder)
            return refuse(m_parts, *responder, request.id, 401, "unknownKey");
        account = holder->name;
    }
    if (!assignMemory(request, account))
        return refuse(m_parts, *responder, request.id, 503, "accountMemory");
    request.contentDigest = contentDigest(request, account);
    request.account = account;
    const auto relay = std::make_shared<RequestRelay>(m_parts, std::move(request), table, *route,
                                                      std::move(account), responder, arrivedAt);
    track(relay);
    relay->start();
}

bool RequestDispatcher::assignMemory(GatewayRequest &request, const std::string &account) const
{
    if (!m_parts.settings.limitsPeerMemory)
        return true;
    if (!request.http.memory)
        request.http.memory = m_parts.requestMemory.begin();
    return request.http.memory->assignTo(account);
}

// Pruning only after the list has doubled makes this amortized O(1).
void RequestDispatcher::track(const std::shared_ptr<RequestRelay> &relay)
{
    if (m_relays.size() >= m_pruneAt) {
        std::erase_if(m_relays, [](const auto &one) { return one.expired(); });
        m_pruneAt = std::max(minPruneSize, 2 * m_relays.size());
    }
    m_relays.push_back(relay);
}

void RequestDispatcher::giveUpRequests()
{
    for (const auto &one : std::exchange(m_relays, {})) {
        if (const auto relay = one.lock())
            relay->giveUp();
    }
}

} // namespace foxtailring
