#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/admission/MemoryBudget.h"
#include "foxtailring/decisions/admission/RetryBudget.h"
#include "foxtailring/decisions/admission/RunAdmission.h"
#include "foxtailring/decisions/configuration/KeyFreshness.h"
#include "foxtailring/decisions/configuration/RouteTable.h"
#include "foxtailring/decisions/limits/IdleConnectionShare.h"
#include "foxtailring/decisions/limits/RateLimitTable.h"
#include "foxtailring/decisions/limits/ServerAdmission.h"
#include "foxtailring/decisions/limits/ServerPauses.h"
#include "foxtailring/decisions/membership/EpochAge.h"
#include "foxtailring/decisions/membership/FleetBudget.h"
#include "foxtailring/decisions/membership/FleetMembership.h"
#include "foxtailring/decisions/placement/BackendPlacer.h"
#include "foxtailring/decisions/quarantine/CrashChecks.h"
#include "foxtailring/decisions/quarantine/RequestQuarantine.h"
#include "foxtailring/decisions/quarantine/SuspectedCrashes.h"
#include "foxtailring/decisions/rollouts/Rollouts.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/servers/ServerMemory.h"
#include "foxtailring/decisions/servers/SpeedPublication.h"
#include "foxtailring/decisions/sessions/AnswerTimes.h"
#include "foxtailring/decisions/sessions/EngineLatencyEstimator.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"
#include "foxtailring/decisions/sessions/SecondAttempts.h"
#include "foxtailring/gateway/BackendCodec.h"
#include "foxtailring/gateway/GatewaySettings.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/SerialQueue.h"
#include "foxtailring/transport/WorkerPool.h"

#include "IdleConnectionControl.h"
#include "RequestMemoryFactory.h"
#include "SlowCallers.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief State and services shared by the classes of one gateway.
///
/// Everything from \a routes on is only used on the queue, so that no decision needs a lock.
struct GatewayParts
{
    /// \brief Settings of one gateway's part of the users' retry budget.
    static RetryBudget::Settings retryBudgetSettings(RandomSource &random);

    GatewayParts(GatewaySettings gatewaySettings, BackendCodec backendCodec);
    GatewayParts(const GatewayParts &) = delete;
    GatewayParts &operator=(const GatewayParts &) = delete;

    /// \param admitsRuns see admitsRuns()
    ForwardContext forwardContext(const std::string &requestId, bool admitsRuns);
    /// \brief True if room at engines is shared out among the runs on \a route: where runs of one
    /// service differ in priority by their routes, or servers share their machines.
    bool admitsRuns(const RouteTable &table, const HttpRoute &route) const;
    /// \brief True if the speed of engines decides where runs go, on any route.
    bool placesBySpeed() const;
    /// \brief Asks the engine that made the copy to delete it. A failure is logged and counted; the
    /// copy then expires by itself.
    void releaseCopy(const std::string &requestId, const CopyReference &copy);

    /// \brief Sends a server an order for a copy on a connection of its own.
    void sendOrder(std::string_view address, HttpRequest order, std::chrono::milliseconds timeout,
                   const Http1Client::ResponseHook &hook);

    /// \brief Reads again how far the clock of this process is from Unix time, which may step.
    void updateUnixOffset();
    /// \brief Divides shared limits by what is known of the gateways now.
    void updateFleetSize();
    /// \brief Logs and counts that the retry budget kept a request from another server.
    void reportRetryDenied(const std::string &requestId, const std::string &service);
    /// \brief Logs and counts that \a reason kept a request, or a probe for it, from a server.
    void reportRateLimited(const std::string &requestId, std::string_view serverId,
                           const RateLimitExplanation &reason);
    /// \brief Logs and counts that a quarantined prompt part kept a request from all servers.
    void reportQuarantined(const std::string &requestId, std::string_view suspect);
    /// \brief Logs and counts that a run found no room at engines.
    void reportRunMove(const std::string &requestId, const RunMoveExplanation &reason);
    void reportFirstEvent(const std::string &requestId, const FirstEventTimes &times);
    void reportNoRoom(const std::string &requestId, const RoomExplanation &reason);
    /// \brief Logs and counts that a slow call got no second attempt.
    void reportSecondAttemptDenied(const std::string &requestId, std::string_view reason);
    /// \brief Logs and counts that a server's pause kept a request from it.
    void reportPauseReached(const std::string &requestId, std::string_view serverId, Duration left);
    /// \brief Logs and counts that the bodies at a server kept a request from it.
    void reportServerMemoryReached(const std::string &requestId, std::string_view serverId);
    /// \brief Gives back the idle connections to a server to which a connection failed before an
    /// answer: it may have reached its limit of connections.
    void onConnectionFailed(const std::string &serverId, const Endpoint &endpoint);
    /// \brief Takes note of the pause that \a response may ask for. True if it does.
    bool recordPause(const BackendInfo &server, const HttpResponse &response);
    /// \brief Name of the gauge of a server's pause, in seconds.
    static std::string pauseGauge(std::string_view serverId);
    /// \brief Name of the gauge of a server's rate limit.
    static std::string rateLimitGauge(std::string_view serverId);

    const GatewaySettings settings;
    const BackendCodec codec;
    const Clock clock; ///< goes on while the VM is suspended
    MetricRegistry metrics;
    MemoryBudget memoryBudget; ///< before the pool, whose connections hold parts of it
    RequestMemoryFactory requestMemory;
    WorkerPool pool;
    /// Reads the store and decodes configurations, so that the pool's threads are free for
    /// requests.
    WorkerPool storePool;
    Http1Client http;
    /// Of probes. Their answers name no request, so they share no connection with requests: a late
    /// answer to a request would be taken for a report.
    Http1Client probeHttp;
    IdleConnectionControl idleConnections;
    IdleConnectionControl idleProbeConnections;
    SerialQueue queue;

    std::shared_ptr<const RouteTable> routes; ///< null until the first configuration was read
    bool hasServerList = false;               ///< the server list was read
    BackendTable servers;
    ServerMemory serverMemory; ///< used only if the settings call for it
    SlowCallers slowCallers;
    BackendPlacer placer;
    RandomSource random;
    RunAdmission runs;
    FleetMembership fleet;
    FleetBudget fleetBudget; ///< of what gateways write for each other
    SpeedPublication speedPublication;
    IdleConnectionShare idleShare; ///< of connections for requests
    RetryBudget retryBudget;
    RateLimitTable rateLimits;
    RequestQuarantine quarantine;
    CrashChecks crashChecks;
    SuspectedCrashes suspectedCrashes;
    ServerPauses pauses;
    ServerAdmission admission;
    EngineLatencyEstimator latency;
    AnswerTimes answerTimes;
    SecondAttempts secondAttempts;
    EpochAge epochAge;
    KeyFreshness keyFreshness;
    std::optional<Rollouts> rollouts; ///< none: no roll-outs are carried out

private:
    void updateIdleShare();
    void reportServerMemoryLimit(std::string_view service, std::optional<std::size_t> limit);

    std::size_t m_fleetSize = 0; ///< by which shared limits are divided
};

} // namespace foxtailring
