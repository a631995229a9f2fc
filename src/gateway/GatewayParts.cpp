#include "GatewayParts.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/decisions/admission/RoomExplanation.h"
#include "foxtailring/decisions/rollouts/RequestVersions.h"
#include "foxtailring/decisions/sessions/CopyReference.h"
#include "foxtailring/decisions/sessions/FirstEventTimes.h"
#include "foxtailring/decisions/sessions/RunMoveExplanation.h"
#include "foxtailring/protocol/KeyHash.h"
#include "foxtailring/transport/Endpoint.h"

#include "DurationText.h"
#include "GatewayRollouts.h"

#include <cmath>
#include <utility>

namespace foxtailring {

namespace {

// Only covers the clock's resolution: a request is checked after its caller sent it, and a proof is
// dated before the store answered, so both already err on the safe side.
constexpr std::chrono::milliseconds keyFreshnessMargin {100};
// The operators and the servers write what a restored store has lost again within this time.
constexpr std::chrono::milliseconds restoredRewriteTime {2000};

constexpr std::chrono::milliseconds releaseTimeout {500};
// Like the connect timeout of attempts: a request reaches its server soon after it was decided, so
// that a pause that the server asks for meanwhile is kept.
constexpr std::chrono::milliseconds orderConnectTimeout {250};
constexpr std::size_t maxOrderResponseBytes = 64 * 1024;
// Part of the memory budget for the requests of one client account, where callers may read slowly.
constexpr double maxAccountMemoryShare = 0.5;
// Idle connections to one server that all gateways together keep, on average. Servers accept 96
// connections at least; the rest is for those at work. Up to 36 gateways keep one of each kind.
constexpr double maxIdleRequestConnections = 48;
constexpr double maxIdleProbeConnections = 36;
// Requests use no connection that was idle for longer (maxReuseIdle in RequestRelay).
constexpr std::chrono::milliseconds maxRequestIdle {8000};
constexpr std::chrono::milliseconds maxProbeIdle {20'000};

// Control traffic that a gateway may take at the target size (docs/CAPACITY.md).
constexpr double fleetBytesPerSecond = 8000;

// One of them reads the store's answers while the other one decodes a configuration.
constexpr std::size_t storeThreads = 2;

// Differs between gateways, from 0 to 1.
double phaseOf(const std::string &nodeId)
{
    return std::ldexp(static_cast<double>(keyHash(nodeId)), -64);
}

} // namespace

// The users allow 0.8 of a service's requests plus 150 in ten seconds. The fraction applies to each
// gateway's own requests. The fleet divides half of the 150, since gateways that restart, or learn
// late that the fleet has grown, may use a minimum twice.
RetryBudget::Settings GatewayParts::retryBudgetSettings(RandomSource &random)
{
    return {0.75, 7.5, random.generateDouble()};
}

GatewayParts::GatewayParts(GatewaySettings gatewaySettings, BackendCodec backendCodec)
    : settings(std::move(gatewaySettings))
    , codec(std::move(backendCodec))
    , clock(bootClock())
    , memoryBudget(settings.memoryMb * 1024 * 1024 / MemoryBudget::vmMemoryDivisor,
                   settings.limitsPeerMemory ? maxAccountMemoryShare : 1)
    , requestMemory(memoryBudget, metrics, clock)
    , pool(settings.threads)
    , storePool(storeThreads)
    , http(pool)
    , probeHttp(pool)
    , idleConnections(
          pool, http, metrics, clock,
          {"requests", maxIdleRequestConnections, maxRequestIdle, phaseOf(settings.nodeId)})
    , idleProbeConnections(pool, probeHttp, metrics, clock,
                           {"probes", maxIdleProbeConnections, maxProbeIdle, 0})
    , queue(pool)
    , serverMemory([this](std::string_view service, std::optional<std::size_t> limit) {
        reportServerMemoryLimit(service, limit);
    })
    , slowCallers(metrics)
    , placer(servers, settings.availabilityZone, settings.regions, BackendPlacer::Settings {})
    , random(RandomSource::fromEntropy())
    , runs(random)
    , fleet(settings.nodeId)
    , fleetBudget(fleetBytesPerSecond, phaseOf(settings.nodeId))
    , speedPublication(random)
    , idleShare({maxIdleRequestConnections, settings.maxServerListDelay})
    , retryBudget(retryBudgetSettings(random))
    , rateLimits({settings.nodeId, settings.maxServerListDelay})
    , crashChecks(servers, random)
    , suspectedCrashes(quarantine, &crashChecks)
    , pauses(servers, random)
    , admission(servers, rateLimits, pauses)
    , secondAttempts(settings.secondAttempts)
    , epochAge(restoredRewriteTime)
    , keyFreshness(settings.maxKeyRevocationDelay, keyFreshnessMargin)
{
    if (settings.rollouts)
        rollouts.emplace(*settings.rollouts, rolloutEnvironment(*this));
    updateFleetSize();
    updateUnixOffset();
}

void GatewayParts::updateUnixOffset()
{
    using std::chrono::milliseconds;
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    quarantine.setUnixOffset(
        std::chrono::duration_cast<milliseconds>(wallTime)
        - std::chrono::duration_cast<milliseconds>(clock().time_since_epoch()));
}

bool GatewayParts::admitsRuns(const RouteTable &table, const HttpRoute &route) const
{
    return table.hasRankedRoutes(route) || servers.pace().isTold();
}

bool GatewayParts::placesBySpeed() const
{
    return servers.pace().isTold() || (routes && routes->hasRankedRoutes());
}

ForwardContext GatewayParts::forwardContext(const std::string &requestId, bool admitsRuns)
{
    return {
        servers,
        placer,
        retryBudget,
        admission,
        quarantine,
        suspectedCrashes,
        latency,
        random,
        [this, requestId](const CopyReference &copy) { releaseCopy(requestId, copy); },
        [this, requestId](std::string_view serverId, const RateLimitExplanation &reason) {
            reportRateLimited(requestId, serverId, reason);
        },
        [this, requestId](std::string_view serverId, Duration left) {
            reportPauseReached(requestId, serverId, left);
        },
        [this, requestId](const std::string &service) { reportRetryDenied(requestId, service); },
        [this, requestId](std::string_view suspect) { reportQuarantined(requestId, suspect); },
        admitsRuns ? &runs : nullptr,
        [this, requestId](const RoomExplanation &reason) { reportNoRoom(requestId, reason); },
        settings.limitsPeerMemory ? &serverMemory : nullptr,
        [this, requestId](std::string_view serverId) {
            reportServerMemoryReached(requestId, serverId);
        },
        secondAttempts.isEnabled() ? &secondAttempts : nullptr,
        [this, requestId](std::string_view reason) {
            reportSecondAttemptDenied(requestId, reason);
        },
        rollouts ? std::make_shared<RequestVersions>(*rollouts) : nullptr,
        [this, requestId](const RunMoveExplanation &reason) { reportRunMove(requestId, reason); },
        [this, requestId](const FirstEventTimes &times) { reportFirstEvent(requestId, times); }};
}

void GatewayParts::updateFleetSize()
{
    fleet.expire(clock());
    updateIdleShare();
    const std::size_t size = fleet.size();
    if (std::exchange(m_fleetSize, size) == size)
        return;
    retryBudget.setProcessCount(size);
    fleetBudget.setProcessCount(size);
    rateLimits.setProcessCount(size);
    runs.contention().setProcessCount(size);
    idleProbeConnections.setProcessCount(size);
    metrics.setGauge("gateway_fleet_size", static_cast<double>(size));
    StructuredLog::info("fleetSizeChanged", {{"gateways", std::to_string(size)}});
}

void GatewayParts::updateIdleShare()
{
    const TimePoint now = clock();
    idleShare.update(fleet, keyFreshness.age(now), now);
    idleConnections.setShare(idleShare.inForce());
    metrics.setGauge("gateway_idle_connection_share", idleShare.inForce());
}

void GatewayParts::reportRetryDenied(const std::string &requestId, const std::string &service)
{
    metrics.add("gateway_retries_denied_total{service=\"" + service + "\"}");
    StructuredLog::info("retryDenied",
                        {{"request", requestId},
                         {"service", service},
                         {"left", std::to_string(retryBudget.remaining(service, clock()))},
                         {"gateways", std::to_string(m_fleetSize)}});
}

void GatewayParts::reportQuarantined(const std::string &requestId, std::string_view suspect)
{
    metrics.add("gateway_quarantined_requests_total");
    StructuredLog::info("requestQuarantined",
                        {{"request", requestId}, {"suspect", std::string(suspect)}});
}

void GatewayParts::reportServerMemoryReached(const std::string &requestId,
                                             std::string_view serverId)
{
    metrics.add("gateway_server_memory_reached_total");
    StructuredLog::info("serverMemoryReached",
                        {{"request", requestId},
                         {"server", std::string(serverId)},
                         {"heldBytes", std::to_string(serverMemory.held(serverId))}});
}

void GatewayParts::reportServerMemoryLimit(std::string_view service,
                                           std::optional<std::size_t> limit)
{
    metrics.add("gateway_server_memory_limits_total{service=\"" + std::string(service) + "\"}");
    StructuredLog::warn("serverMemoryLimited",
                        {{"service", std::string(service)},
                         {"limitBytes", limit ? std::to_string(*limit) : "none"}});
}

void GatewayParts::reportSecondAttemptDenied(const std::string &requestId, std::string_view reason)
{
    metrics.add("gateway_second_attempts_denied_total{reason=\"" + std::string(reason) + "\"}");
    StructuredLog::info("secondAttemptDenied",
                        {{"request", requestId}, {"reason", std::string(reason)}});
}

std::string GatewayParts::rateLimitGauge(std::string_view serverId)
{
    return "gateway_server_limit{server=\"" + std::string(serverId) + "\"}";
}

void GatewayParts::reportRateLimited(const std::string &requestId, std::string_view serverId,
                                     const RateLimitExplanation &reason)
{
    metrics.add("gateway_limit_denied_total{server=\"" + std::string(serverId) + "\"}");
    metrics.setGauge(rateLimitGauge(serverId), reason.limit);
    StructuredLog::info("limitReached",
                        {{"request", requestId},
                         {"server", std::string(serverId)},
                         {"limitPerSecond", std::to_string(reason.limit)},
                         {"limitAgeMs", msText(reason.limitAge)},
                         {"quota", std::to_string(reason.quota)},
                         {"windowMs", msText(reason.window)},
                         {"recent", std::to_string(reason.recent)},
                         {"gateways", std::to_string(reason.processes)},
                         {"shareKnown", reason.isShareKnown ? "true" : "false"}});
}

std::string GatewayParts::pauseGauge(std::string_view serverId)
{
    return "gateway_server_pause_seconds{server=\"" + std::string(serverId) + "\"}";
}

void GatewayParts::reportNoRoom(const std::string &requestId, const RoomExplanation &reason)
{
    const bool isRefused = reason.returnAfter > Duration {0};
    metrics.add(isRefused ? "gateway_runs_without_room_total{decision=\"refused\"}"
                          : "gateway_runs_without_room_total{decision=\"waits\"}");
    StructuredLog::info("noRoom",
                        {{"request", requestId},
                         {"urgency", reason.urgency ? std::to_string(*reason.urgency) : "none"},
                         {"late", reason.isLate ? "true" : "false"},
                         {"maxMemoryShare", std::to_string(reason.maxMemoryShare)},
                         {"meanMemoryShare", std::to_string(reason.meanMemoryShare)},
                         {"withoutMemory", std::to_string(reason.withoutMemory)},
                         {"withPromptsAhead", std::to_string(reason.withPromptsAhead)},
                         {"leftToOthers", std::to_string(reason.leftToOthers)},
                         {"returnAfterMs", msText(reason.returnAfter)}});
}

void GatewayParts::reportRunMove(const std::string &requestId, const RunMoveExplanation &reason)
{
    constexpr std::string_view decisionNames[] = {"searching", "moved", "kept"};
    const std::string decision(decisionNames[static_cast<int>(reason.decision)]);
    metrics.add("gateway_run_moves_total{service=\"" + reason.service + "\",decision=\"" + decision
                + "\"}");
    StructuredLog::info("runMove",
                        {{"request", requestId},
                         {"decision", decision},
                         {"server", reason.serverId},
                         {"promptsAhead", std::to_string(reason.promptsAhead)},
                         {"relativeDuration", std::to_string(reason.relativeDuration)},
                         {"waitedMs", msText(reason.waited)},
                         {"expectedHereMs", msText(reason.expectedHere)},
                         {"expectedElsewhereMs", msText(reason.expectedElsewhere)}});
}

void GatewayParts::reportFirstEvent(const std::string &requestId, const FirstEventTimes &times)
{
    const auto observe = [this, &times](const char *series, Duration duration) {
        metrics.observeSeconds(std::string(series) + "{service=\"" + times.service + "\"}",
                               std::chrono::duration<double>(duration).count());
    };
    observe("gateway_run_first_event_expected_seconds", times.expected);
    observe("gateway_run_first_event_seconds", times.real);
    if (times.engineWait > Duration {0})
        observe("gateway_run_engine_wait_seconds", times.engineWait);
    StructuredLog::info("firstEvent",
                        {{"request", requestId},
                         {"server", times.serverId},
                         {"expectedMs", msText(times.expected)},
                         {"tookMs", msText(times.real)},
                         {"engineWaitMs", msText(times.engineWait)},
                         {"moves", std::to_string(times.moves)}});
}

void GatewayParts::reportPauseReached(const std::string &requestId, std::string_view serverId,
                                      Duration left)
{
    metrics.add("gateway_pause_denied_total");
    StructuredLog::info(
        "pauseReached",
        {{"request", requestId}, {"server", std::string(serverId)}, {"leftMs", msText(left)}});
}

void GatewayParts::onConnectionFailed(const std::string &serverId, const Endpoint &endpoint)
{
    const std::size_t requests = idleConnections.onConnectionFailed(endpoint);
    const std::size_t probes = idleProbeConnections.onConnectionFailed(endpoint);
    if (requests + probes == 0)
        return;
    StructuredLog::info("idleConnectionsClosed",
                        {{"server", serverId},
                         {"requests", std::to_string(requests)},
                         {"probes", std::to_string(probes)},
                         {"gateways", std::to_string(m_fleetSize)}});
}

bool GatewayParts::recordPause(const BackendInfo &server, const HttpResponse &response)
{
    const BackendAnswer answer = codec.decodeAnswer(response);
    pauses.recordAnswer(server, answer, clock());
    return answer.pause.has_value();
}

void GatewayParts::releaseCopy(const std::string &requestId, const CopyReference &copy)
{
    const auto hook = [this, requestId, serverId = copy.serverId,
                       handle = copy.handle](const Result<HttpResponse> &response) {
        if (response) {
            queue.post([this, serverId, answer = response.value()] {
                if (const auto server = servers.server(serverId, clock()))
                    recordPause(server->info, answer);
            });
        }
        const bool isReleased = response && response.value().status < 300;
        metrics.add(isReleased ? "gateway_copies_total{outcome=\"released\"}"
                               : "gateway_copies_total{outcome=\"releaseFailed\"}");
        if (isReleased)
            return;
        StructuredLog::info("copyNotReleased",
                            {{"request", requestId},
                             {"handle", handle},
                             {"error",
                              response ? "status " + std::to_string(response.value().status)
                                       : response.error().message}});
    };
    if (!copy.serverId.empty() && !admission.tryAcquire(copy.serverId, clock()))
        return hook(Error {ErrorCode::Overloaded, "the server's rate limit or pause"});
    sendOrder(copy.address, codec.encodeCopyRelease(copy.handle), releaseTimeout, hook);
}

// The response to an order names neither the order nor the run. On a connection that was used
// before, the handle of another run's copy could be taken for this one's, which would mix two
// answers.
void GatewayParts::sendOrder(std::string_view address, HttpRequest order,
                             std::chrono::milliseconds timeout,
                             const Http1Client::ResponseHook &hook)
{
    const auto endpoint = Endpoint::parse(address);
    if (!endpoint)
        return hook(endpoint.error());
    ExchangeOptions options;
    options.connectTimeout = orderConnectTimeout;
    options.maxBodyBytes = maxOrderResponseBytes;
    http.request(endpoint.value(), std::move(order), timeout, hook, options);
}

} // namespace foxtailring
