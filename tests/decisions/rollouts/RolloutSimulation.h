#pragma once

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/rollouts/AttemptObservation.h"
#include "foxtailring/decisions/rollouts/RequestVersions.h"
#include "foxtailring/decisions/rollouts/Rollouts.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief A fleet of gateways that rolls a version out, with a store that tells each of them of
/// changes late, and servers of two versions. Time passes in small steps.
class RolloutSimulation
{
public:
    using Ms = std::chrono::milliseconds;

    struct Route
    {
        std::string name;
        double requestsPerSecond = 0;
        Ms usualTime {0};
        double failureRate = 0; ///< of every version
        bool isIdempotent = true;
    };
    /// What is wrong with the new version.
    struct Fault
    {
        double portion = 0;  ///< of its answers
        bool isSlow = false; ///< several times slower; else they fail
        std::string route;   ///< empty: on all
        Ms after {0};        ///< from the order on
        int minLoad = 0;     ///< requests at a server, without which it is good
    };
    struct Settings
    {
        std::size_t gateways = 28;
        std::size_t serversPerZone = 4; ///< of each version, in six zones
        std::vector<Route> routes;
        std::optional<Fault> fault;
        Ms ramp {12'000};
        Ms maxWatchDelay {1500};
        std::uint64_t seed = 1;
    };
    struct Figures
    {
        std::size_t requests = 0; ///< that reached the service from the order to its deadline
        std::size_t newRequests = 0;
        std::size_t badAnswers = 0;
        std::optional<TimePoint> enoughBadAt; ///< of the bad answer that starts the time limit
        TimePoint lastNewAt;
        std::size_t cutRequests = 0; ///< at old servers when they were stopped
        std::size_t storeWrites = 0;
        std::size_t unserved = 0; ///< no server was allowed
    };
    struct Server
    {
        BackendInfo info;
        int load = 0;
        double failureRate = 0; ///< of a grey server
        bool isDark = false;    ///< loses all requests
    };

    explicit RolloutSimulation(Settings settings);

    /// \brief The operator writes the order, and servers of the version start.
    void order(const std::string &version);
    void deleteOrder();
    void removeServers(const std::string &version);
    /// \brief Lets the time pass. \a onTick may disturb the fleet.
    void run(Ms time, const std::function<void(RolloutSimulation &)> &onTick = {});

    Duration sinceOrder() const { return m_now - m_orderedAt; }
    const std::optional<RolloutStatus> &storedStatus() const { return m_storedStatus; }
    bool isIn(RolloutState state, const std::string &version) const;
    /// \brief Largest number of requests that the new version may get.
    double exposureBound() const;
    /// \brief True if the bad version got no request later than it may.
    bool endedInTime() const;

    /// \brief The gateway that takes the next step, and how a gateway stops and starts.
    std::size_t firstWriter() const;
    void kill(std::size_t gateway);
    void start(std::size_t gateway);
    void freeze(std::size_t gateway, Ms time) { m_gateways[gateway]->frozenUntil = m_now + time; }
    void setStoreAway(bool isAway) { m_isStoreAway = isAway; }
    /// \brief The store is restored from a copy without order, status and witnesses; the operator
    /// writes the order again after a while.
    void restoreStore(Ms orderDelay);
    void addGrey(bool isNew, double failureRate);
    void setZoneDark(const std::string &zone, bool isDark);
    /// \brief All answers take so many times as long.
    void setSlowness(double factor) { m_slowness = factor; }
    std::size_t gatewayCount() const { return m_gateways.size(); }
    const Figures &figures() const { return m_figures; }
    TimePoint orderedAt() const { return m_orderedAt; }

private:
    enum class ChangeKind : std::uint8_t { Order, Status, Witness };
    struct Change
    {
        ChangeKind kind = ChangeKind::Order;
        StoreRevision revision;
        std::optional<RolloutOrder> order;
        std::optional<RolloutStatus> status;
        std::size_t gateway = 0;
        std::optional<Rollouts::Witnesses> witnesses;
    };
    struct Gateway
    {
        std::unique_ptr<Rollouts> rollouts;
        bool isUp = true;
        TimePoint frozenUntil;
        TimePoint pollAt;
        TimePoint stepAt;
        TimePoint confirmedAt;
        std::size_t seenChanges = 0;
    };
    struct Work
    {
        std::size_t gateway = 0;
        std::size_t route = 0;
        std::size_t server = 0;
        bool isBad = false;
        bool isFailed = false;
        bool isRepeat = false;
        std::shared_ptr<RequestVersions> versions;
        AttemptObservation observation;
    };

    RolloutEnvironment environmentOf(std::size_t gateway);
    bool runs(const Gateway &gateway) const { return gateway.isUp && m_now >= gateway.frozenUntil; }
    void startServers(const std::string &version);
    void tick();
    void poll(std::size_t gateway);
    void apply(std::size_t gateway, const Change &change, bool isLive);
    void readAll(std::size_t gateway);
    void step(std::size_t gateway);
    void writeStatus(Rollout &rollout, const RolloutStatus &status);
    void announce(Change change);
    void arrive(std::size_t route);
    void send(Work work);
    std::optional<std::size_t> choose(RequestVersions &versions);
    void finish(Work work);
    void stopOldServers();

    const Settings m_settings;
    const RolloutSettings m_rolloutSettings;
    RandomSource m_random;
    TimePoint m_now {std::chrono::hours(1)};
    TimePoint m_orderedAt;
    std::string m_newVersion;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::vector<Server> m_servers;
    std::multimap<TimePoint, Work> m_work;
    std::vector<Change> m_changes;
    StoreRevision m_revision {1, 1};
    StoreRevision m_statusRevision {1, 0};
    std::optional<RolloutOrder> m_storedOrder;
    StoreRevision m_orderRevision;
    std::optional<RolloutStatus> m_storedStatus;
    bool m_isStoreAway = false;
    std::optional<TimePoint> m_orderRewriteAt;
    double m_slowness = 1;
    Figures m_figures;
};

} // namespace foxtailring
