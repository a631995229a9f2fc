#include "foxtailring/gateway/GatewayNode.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/store/KeyValueClient.h"
#include "foxtailring/transport/ConnectionCut.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http1Server.h"
#include "foxtailring/transport/Timer.h"

#include "BodyTimeLimit.h"
#include "GatewayParts.h"
#include "GatewayPublisher.h"
#include "RequestDispatcher.h"
#include "RolloutPublisher.h"
#include "StoreWatch.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// The load balancer probes once a second and stops sending new connections after two failures.
constexpr milliseconds acceptDuration {3000};
constexpr milliseconds drainPollInterval {50};
// Connection attempts are ignored for this long before the port is closed, so that the handshakes
// that have begun are completed and accepted.
constexpr milliseconds handshakeReserve {100};
// A request on a kept-alive connection that was sent just before its caller learned of the stop has
// arrived by then.
constexpr milliseconds lateRequestWait {300};
// Idle connections end this long before the process at least, so that requests that arrived before
// are refused, and callers have read their last answer.
constexpr milliseconds idleCloseReserve {500};
// Requests are given up this long before the process ends, so that their refusals are written.
constexpr milliseconds lastAnswerReserve {200};
// A longer lag of the queue is not made up for: nothing could be served meanwhile.
constexpr milliseconds maxExpectedLag {500};
// Many gateways may see that a prompt part is harmless at once; the first report is enough.
constexpr milliseconds maxClearingDelay {2000};
// Part of the drain timeout that is left for ending the process.
constexpr milliseconds shutdownReserve {500};

// A task of the queue that waited for this long is logged.
constexpr milliseconds minLoggedLag {250};
constexpr milliseconds lagLogInterval {1000};

HttpLimits toHttpLimits(const CallerLimits &limits)
{
    HttpLimits http;
    http.maxHeaderBytes = limits.maxHeaderBytes;
    http.maxBodyBytes = limits.maxBodyBytes;
    http.idleTimeout = limits.idleTimeout;
    http.headerTimeout = limits.headerTimeout;
    return http;
}

std::string leavingGauge(const BackendInfo &info)
{
    return "gateway_server_leaving{server=\"" + info.id + "\"}";
}

void setLeavingHooks(GatewayParts &parts, BackendTable::Hooks &hooks)
{
    hooks.onLeaving = [&parts](const BackendInfo &info, LeavingSource source) {
        const std::string name = source == LeavingSource::List ? "list" : "answer";
        parts.metrics.setGauge(leavingGauge(info), 1);
        parts.metrics.add("gateway_servers_leaving_total{source=\"" + name + "\"}");
        StructuredLog::info("serverLeaving",
                            {{"server", info.id}, {"service", info.service}, {"source", name}});
    };
    hooks.onLeavingEnded = [&parts](const BackendInfo &info) {
        parts.metrics.removeGauge(leavingGauge(info));
        StructuredLog::info("serverLeavingEnded", {{"server", info.id}, {"service", info.service}});
    };
    hooks.onNoticeUnreadable = [&parts](const BackendInfo &info) {
        parts.metrics.add("gateway_leaving_unreadable_total");
        StructuredLog::warn("leavingNoticeUnreadable",
                            {{"server", info.id}, {"service", info.service}});
    };
}

BackendTable::Hooks makeTrustHooks(GatewayParts &parts)
{
    BackendTable::Hooks hooks;
    hooks.onSuspected = [&parts](const BackendInfo &info, Duration avoidedFor) {
        parts.metrics.add("gateway_servers_suspected_total{service=\"" + info.service + "\"}");
        const auto ms = std::chrono::duration_cast<milliseconds>(avoidedFor).count();
        StructuredLog::info("serverSuspected",
                            {{"server", info.id},
                             {"zone", info.availabilityZone},
                             {"avoidedForMs", std::to_string(ms)}});
    };
    hooks.onRecovered = [](const BackendInfo &info) {
        StructuredLog::info("serverTrusted",
                            {{"server", info.id}, {"zone", info.availabilityZone}});
    };
    hooks.onReplaced = [](const BackendInfo &info) {
        StructuredLog::info("serverReplaced",
                            {{"server", info.id}, {"zone", info.availabilityZone}});
    };
    hooks.onReplacementEnded = [](const BackendInfo &info) {
        StructuredLog::info("serverReplacementEnded",
                            {{"server", info.id}, {"zone", info.availabilityZone}});
    };
    setLeavingHooks(parts, hooks);
    return hooks;
}

SuspectedCrashes::Hooks makeCrashHooks(GatewayParts &parts)
{
    SuspectedCrashes::Hooks hooks;
    hooks.onCrash = [&parts](const BackendInfo &server, CrashEvidence evidence,
                             const CrashVerdict &verdict) {
        const std::string name(crashEvidenceName(evidence));
        parts.metrics.add("gateway_crashes_counted_total{evidence=\"" + name + "\"}");
        StructuredLog::info("crashCounted",
                            {{"server", server.id},
                             {"startedAtMs", std::to_string(server.startedAtMs)},
                             {"evidence", name},
                             {"failedPeers", std::to_string(verdict.failedPeers.size())}});
    };
    hooks.onCleared = [&parts](const BackendInfo &server, std::string_view sign) {
        parts.metrics.add("gateway_crash_suspicions_cleared_total");
        StructuredLog::info("crashSuspicionCleared",
                            {{"server", server.id},
                             {"startedAtMs", std::to_string(server.startedAtMs)},
                             {"sign", std::string(sign)}});
    };
    return hooks;
}

// On the wire, of a crash report after several servers have failed at once.
constexpr std::size_t usualReportBytes = 1500;

RequestQuarantine::Hooks makeQuarantineHooks(GatewayParts &parts)
{
    RequestQuarantine::Hooks hooks;
    hooks.onQuarantined = [&parts](const std::string &suspect, std::size_t crashes,
                                   std::string_view evidence, Duration time) {
        parts.metrics.add("gateway_quarantines_total");
        const auto ms = std::chrono::duration_cast<milliseconds>(time).count();
        StructuredLog::warn("suspectQuarantined",
                            {{"suspect", suspect},
                             {"crashes", std::to_string(crashes)},
                             {"evidence", std::string(evidence)},
                             {"forMs", std::to_string(ms)}});
    };
    hooks.onReleased = [](const std::string &suspect, std::string_view cause) {
        StructuredLog::info("suspectReleased",
                            {{"suspect", suspect}, {"cause", std::string(cause)}});
    };
    hooks.clearingDelay = [&parts] {
        return milliseconds(parts.random.bounded(maxClearingDelay.count()));
    };
    hooks.massFailureDelay = [&parts] {
        const auto spread =
            std::chrono::duration_cast<milliseconds>(parts.fleetBudget.spread(usualReportBytes));
        return milliseconds(parts.random.bounded(static_cast<std::uint64_t>(spread.count()) + 1));
    };
    hooks.isTrialOwner = [&parts](std::string_view suspect) { return parts.fleet.owns(suspect); };
    return hooks;
}

RateLimitTable::Hooks makeRateLimitHooks(GatewayParts &parts)
{
    RateLimitTable::Hooks hooks;
    hooks.onLimited = [&parts](std::string_view serverId, double limit) {
        parts.metrics.setGauge(GatewayParts::rateLimitGauge(serverId), limit);
        StructuredLog::info(
            "serverLimited",
            {{"server", std::string(serverId)}, {"limitPerSecond", std::to_string(limit)}});
    };
    hooks.onUnlimited = [&parts](std::string_view serverId, std::string_view cause) {
        parts.metrics.removeGauge(GatewayParts::rateLimitGauge(serverId));
        StructuredLog::info("serverUnlimited",
                            {{"server", std::string(serverId)}, {"cause", std::string(cause)}});
    };
    return hooks;
}

Http1Server::CutHook makeCutHook(GatewayParts &parts)
{
    return [&parts](const ConnectionCut &cut) {
        const std::string cause(connectionCutCauseName(cut.cause));
        const std::string phase(connectionCutPhaseName(cut.phase));
        parts.metrics.add("gateway_connections_cut_total{cause=\"" + cause + "\",phase=\"" + phase
                          + "\"}");
        StructuredLog::info("connectionCut",
                            {{"cause", cause},
                             {"phase", phase},
                             {"bytes", std::to_string(cut.arrivedBytes)},
                             {"ageMs", std::to_string(cut.age.count())}});
    };
}

// A lagging queue delays every request and every answer, and no other line tells why.
SerialQueue::WaitHook makeWaitHook(GatewayParts &parts)
{
    return [&parts, loggedAt = std::optional<TimePoint>()](milliseconds wait) mutable {
        parts.metrics.observeSeconds("gateway_queue_wait_seconds",
                                     std::chrono::duration<double>(wait).count());
        if (wait < minLoggedLag)
            return;
        const TimePoint now = parts.clock();
        if (loggedAt && now < *loggedAt + lagLogInterval)
            return;
        loggedAt = now;
        StructuredLog::warn("queueLag", {{"waitMs", std::to_string(wait.count())}});
    };
}

ServerPauses::Hooks makePauseHooks(GatewayParts &parts)
{
    ServerPauses::Hooks hooks;
    hooks.onPaused = [&parts](std::string_view serverId, Duration left) {
        const double seconds = std::chrono::duration<double>(left).count();
        parts.metrics.add("gateway_pauses_total");
        parts.metrics.setGauge(GatewayParts::pauseGauge(serverId), seconds);
        StructuredLog::info(
            "serverPaused",
            {{"server", std::string(serverId)}, {"seconds", std::to_string(seconds)}});
    };
    hooks.onEnded = [&parts](std::string_view serverId) {
        parts.metrics.removeGauge(GatewayParts::pauseGauge(serverId));
        StructuredLog::info("serverPauseEnded", {{"server", std::string(serverId)}});
    };
    hooks.onUnreadable = [&parts](std::string_view serverId) {
        parts.metrics.add("gateway_pauses_unreadable_total");
        StructuredLog::warn("pauseUnreadable", {{"server", std::string(serverId)}});
    };
    return hooks;
}

} // namespace

struct GatewayNode::State
{
    State(GatewaySettings settings, BackendCodec codec, StoreSchema schema,
          const StoreFactory &factory)
        : parts(std::move(settings), std::move(codec))
        , dispatcher(parts)
        , bodyTimeLimit(parts.codec)
        , callers(parts.pool, parts.settings.listen, HttpLimits {},
                  [this](HttpRequest request, std::shared_ptr<Http1Responder> responder) {
                      dispatcher.handle(std::move(request), std::move(responder));
                  })
        , readiness(parts.pool, parts.settings.ready, HttpLimits {},
                    [this](const HttpRequest &request, const std::shared_ptr<Http1Responder> &to) {
                        answerProbe(request, to);
                    })
        , metrics(parts.pool, parts.settings.metrics, HttpLimits {},
                  [this](const HttpRequest &request, const std::shared_ptr<Http1Responder> &to) {
                      answerProbe(request, to);
                  })
        , storeHttp(parts.storePool)
        , store(factory(parts.storePool, storeHttp))
        , rolloutPublisher(parts, *store, schema.rollouts)
        , watch(parts, *store, std::move(schema))
        , publisher(parts, *store)
        , drainTimer(parts.pool)
    {
        parts.queue.onTaskWaited(makeWaitHook(parts));
        parts.servers.setHooks(makeTrustHooks(parts));
        parts.rateLimits.setHooks(makeRateLimitHooks(parts));
        parts.quarantine.setHooks(makeQuarantineHooks(parts));
        parts.suspectedCrashes.setHooks(makeCrashHooks(parts));
        callers.onConnectionCut(makeCutHook(parts));
        callers.limitBodyTime(
            [this](const HttpRequest &head) { return bodyTimeLimit.limit(head); });
        callers.limitMemory([this] { return parts.requestMemory.begin(); });
        parts.pauses.setHooks(makePauseHooks(parts));
        watch.onConfirmed([this] { dispatcher.onStoreRead(); });
        watch.onRestored([this] { publisher.onStoreRestored(); });
        watch.onConfigApplied([this] {
            bodyTimeLimit.setRoutes(parts.routes);
            callers.setLimits(toHttpLimits(parts.routes->config().limits));
        });
    }

    void answerProbe(const HttpRequest &request, const std::shared_ptr<Http1Responder> &responder);
    void checkDrained();
    void closePort(Duration age);
    Duration lag() const;
    void closeIdle(Duration age, Duration endsAt);
    bool isDrained(Duration age) const;
    bool hasRequests() const;
    void stop();

    GatewayParts parts;
    RequestDispatcher dispatcher;
    BodyTimeLimit bodyTimeLimit;
    Http1Server callers;
    Http1Server readiness;
    Http1Server metrics;
    Http1Client storeHttp;
    const std::unique_ptr<KeyValueClient> store;
    RolloutPublisher rolloutPublisher;
    StoreWatch watch;
    GatewayPublisher publisher;
    Timer drainTimer;
    /// Set by drain(), then used by the drain's timer only, not on the queue.
    TimePoint drainStartedAt;
    std::optional<Duration> ignoringAt;   ///< since the start of the drain
    bool isStopping = false;              ///< no new connections
    bool hasGivenUp = false;              ///< requests that last too long were ended
    std::optional<Duration> idleClosedAt; ///< since the start of the drain
    std::function<void()> drained;
};

void GatewayNode::State::answerProbe(const HttpRequest &request,
                                     const std::shared_ptr<Http1Responder> &responder)
{
    if (request.target == "/metrics") {
        parts.requestMemory.updateGauges();
        return responder->respond(
            {200, {{"Content-Type", "text/plain; version=0.0.4"}}, parts.metrics.prometheusText()});
    }
    parts.queue.post([this, responder] {
        const bool isReady = dispatcher.isServing();
        responder->respond({isReady ? 200 : 503, {{"Content-Type", "text/plain"}}, ""});
    });
}

// Callers that connected last may take seconds until they send, so new connections are waited for
// as long as the process lives. Kept-alive ones are not: their callers may not send at all.
bool GatewayNode::State::hasRequests() const
{
    return callers.openRequestCount() > 0 || callers.expectedRequestCount() > 0;
}

void GatewayNode::State::closePort(Duration age)
{
    if (age < acceptDuration - handshakeReserve || isStopping)
        return;
    if (!ignoringAt) {
        ignoringAt = age;
        if (const auto ignored = callers.ignoreNewConnections(); !ignored)
            StructuredLog::warn("newConnectionsNotIgnored", {{"message", ignored.error().message}});
    }
    // Counted from the call above, since the process may have been paused meanwhile.
    if (age < *ignoringAt + handshakeReserve)
        return;
    isStopping = true;
    callers.stopAccepting();
}

// Queue tasks that are due at a time of the stop are posted this much earlier.
Duration GatewayNode::State::lag() const
{
    return std::min(parts.queue.lag(), maxExpectedLag);
}

// From the close before the limit on, a request is refused without the queue, which may be too late
// for it.
void GatewayNode::State::closeIdle(Duration age, Duration endsAt)
{
    if (!isStopping || idleClosedAt)
        return;
    const bool isLast = age >= endsAt - idleCloseReserve - lag();
    if (!isLast && (age < acceptDuration + lateRequestWait || hasRequests()))
        return;
    if (isLast)
        callers.refuseRequests();
    callers.closeIdle();
    idleClosedAt = age;
}

// A connection may be closed by the end of the process only if nothing more is read from it.
bool GatewayNode::State::isDrained(Duration age) const
{
    const bool isClosed = callers.openConnectionCount() == 0
        || (idleClosedAt && age >= *idleClosedAt + idleCloseReserve);
    return isStopping && isClosed && callers.usableConnectionCount() == 0;
}

// Runs beside the queue, so that the process ends in time when the queue lags.
void GatewayNode::State::checkDrained()
{
    const Duration age = parts.clock() - drainStartedAt;
    const Duration endsAt = parts.settings.drainTimeout - shutdownReserve;
    closePort(age);
    closeIdle(age, endsAt);
    if (age >= endsAt - lastAnswerReserve - lag() && !std::exchange(hasGivenUp, true))
        parts.queue.post([this] { dispatcher.giveUpRequests(); });
    const bool isDone = isDrained(age);
    if (!isDone && age < endsAt)
        return;
    if (!isDone)
        StructuredLog::warn("drainCutShort",
                            {{"requests", std::to_string(callers.openRequestCount())},
                             {"connections", std::to_string(callers.usableConnectionCount())}});
    drainTimer.cancel();
    if (const auto hook = std::exchange(drained, nullptr))
        hook();
}

void GatewayNode::State::stop()
{
    drainTimer.cancel();
    callers.close();
    parts.queue.close();
    readiness.close();
    metrics.close();
    watch.stop();
    rolloutPublisher.stop();
    publisher.stop();
    parts.storePool.stop();
    parts.pool.stop();
    // Runs the remaining tasks on this thread: they hold references to members that are destroyed
    // before the pools. Tasks of each pool queue some on the other one.
    std::size_t ran = 0;
    do {
        parts.storePool.context().restart();
        parts.pool.context().restart();
        ran = parts.storePool.context().poll() + parts.pool.context().poll();
    } while (ran > 0);
}

GatewayNode::GatewayNode(GatewaySettings settings, BackendCodec codec, StoreSchema schema,
                         const StoreFactory &store)
    : m_state(new State(std::move(settings), std::move(codec), std::move(schema), store))
{
}

GatewayNode::~GatewayNode()
{
    m_state->stop();
}

Result<GatewayPorts> GatewayNode::listen()
{
    GatewayPorts ports;
    const std::pair<Http1Server *, std::uint16_t *> servers[] = {
        {&m_state->callers, &ports.callers},
        {&m_state->readiness, &ports.ready},
        {&m_state->metrics, &ports.metrics}};
    for (const auto &[server, port] : servers) {
        const auto listening = server->listen();
        if (!listening)
            return listening.error();
        *port = listening.value();
    }
    m_state->watch.start();
    m_state->publisher.start();
    m_state->rolloutPublisher.start();
    return ports;
}

void GatewayNode::drain(std::function<void()> drained)
{
    State &state = *m_state;
    state.drainStartedAt = state.parts.clock();
    state.drained = std::move(drained);
    state.callers.disableKeepAlive();
    const TimePoint lastAnswerAt = state.drainStartedAt + state.parts.settings.drainTimeout
        - shutdownReserve - lastAnswerReserve;
    state.parts.queue.post([&state, lastAnswerAt] { state.dispatcher.drain(lastAnswerAt); });
    state.drainTimer.every(drainPollInterval, [&state] { state.checkDrained(); });
}

} // namespace foxtailring
