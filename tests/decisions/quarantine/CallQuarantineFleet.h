#pragma once

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/protocol/RequestDigest.h"

#include "CallGateway.h"
#include "CallServer.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace foxtailring {

/// \brief Gateways that send calls to plain servers, one of which crashes each server that begins
/// to run it. Reports of crashes travel through a store. Time is driven by events.
class CallQuarantineFleet
{
public:
    using Ms = std::chrono::milliseconds;

    struct Scenario
    {
        std::size_t gateways = 4;
        std::size_t servers = 3;
        bool isIdempotent = true; ///< gateways try a lost call at another server
        std::uint64_t seed = 1;
        double deadlyPerSecond = 2;
        double hotShare = 0.2; ///< of the sound calls, which have one digest
        /// The store is away for 4 s from the second crash of the deadly call on.
        bool isStoreAway = false;
        bool hasEngineFailures = false; ///< a third of the engines of another service every 6 s
        bool hasRandomCrashes = false;  ///< a single server every 3 s
        bool hasZoneLosses = false;     ///< all servers of a zone within 0.3 s, every 6 s
    };

    struct Result
    {
        std::size_t crashes = 0;
        std::size_t deadlyCrashes = 0;
        std::optional<TimePoint> thirdCrash; ///< by the deadly call
        std::size_t deadly = 0;              ///< visits to gateways
        std::size_t lateDeadly = 0;          ///< sent to servers over 3 s after the third crash
        std::size_t lateWithStore = 0;       ///< and over 3 s after the store came back
        std::size_t sound = 0;               ///< visits to gateways
        std::size_t soundLost = 0;           ///< attempts
        std::size_t soundRefused = 0;        ///< new calls, by a quarantine
        std::size_t soundNotRetried = 0;     ///< because of a quarantine
        std::size_t hotRefused = 0;          ///< of these two
        std::size_t openGateways = 0;        ///< admit the deadly call 3 s after the third crash
        std::size_t openLater = 0;           ///< also 1 s after the last gateway has started
        std::size_t reports = 0;             ///< written to the store
        std::size_t mostReports = 0;         ///< in one second
    };

    explicit CallQuarantineFleet(const Scenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        for (std::size_t i = 0; i < scenario.servers; ++i) {
            m_servers.emplace_back(i, i % zoneCount);
            m_table.put(m_servers.back().info(), m_now);
        }
        for (std::size_t i = 0; i < scenario.gateways; ++i)
            addGateway();
        arriveSound();
        if (scenario.deadlyPerSecond > 0)
            after(settlingTime, [this] { arriveDeadly(); });
        if (scenario.hasRandomCrashes)
            every(crashInterval, [this] { crashAny(); });
        if (scenario.hasZoneLosses)
            every(zoneLossInterval, [this] { loseZone(); });
        if (scenario.hasEngineFailures)
            every(engineFailureInterval, [this] { failEngines(); });
    }

    const Result &run(Duration time)
    {
        const TimePoint end = m_now + time;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
        return m_result;
    }

private:
    using Call = CallServer::Call;
    using Action = std::function<void()>;
    using Report = CallGateway::Report;

    struct Node
    {
        Node(const BackendTable &servers, RandomSource &random, bool triesFirst,
             CallGateway::AskHook ask)
            : gateway(servers, random, triesFirst, std::move(ask))
        {
        }

        CallGateway gateway;
        std::size_t number = 0;
        TimePoint readAt;      ///< when it reads the latest report that is on its way
        TimePoint pausedUntil; ///< no write to the store before
        Ms failurePause {0};
        std::shared_ptr<const Report> written; ///< in the store
    };

    static constexpr std::size_t zoneCount = 3;
    static constexpr double soundPerSecond = 60;
    static constexpr Ms settlingTime {5000}; ///< without the deadly call
    static constexpr Ms restartTime {3500};
    static constexpr Ms crashInterval {3000};
    static constexpr Ms zoneLossInterval {6000};
    static constexpr Ms zoneLossTime {300};
    static constexpr Ms networkTime {1};
    static constexpr Ms probeTime {50}; ///< until all that were asked have answered or refused
    static constexpr Ms stableTime {3000};
    static constexpr Ms storeOutage {4000};
    static constexpr Ms minReadDelay {50};
    static constexpr Ms maxReadDelay {500};
    static constexpr Ms maxClockDifference {1000};
    static constexpr std::size_t engineCount = 18; ///< of another service
    static constexpr Ms engineFailureInterval {6000};
    static constexpr std::size_t gatewaysPerFailure = 3; ///< of so many, one sees an engine fail
    // Gateways start that long after the third crash.
    static constexpr Ms earlyStart {1500};
    static constexpr Ms lateStart {10'000};
    static constexpr Ms lateCheck {11'000};
    static constexpr std::size_t maxAttempts = 2;
    static std::string digestOf(std::string_view content)
    {
        return RequestDigest::of(std::span(&content, 1));
    }

    inline static const std::string deadlyDigest = digestOf("deadly");
    // As in the gateway.
    static constexpr Ms stepInterval {250};
    static constexpr Ms minFailurePause {500};
    static constexpr Ms maxFailurePause {4000};
    static constexpr Ms failurePauseSpread {1000};

    void after(Duration delay, Action action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    void every(Duration interval, const Action &action)
    {
        after(interval, [this, interval, action] {
            action();
            every(interval, action);
        });
    }

    Ms random(Ms from, Ms to) { return from + Ms(m_random.bounded((to - from).count() + 1)); }

    Duration randomInterval(double perSecond)
    {
        const std::chrono::duration<double> interval(-std::log(1 - m_random.generateDouble())
                                                     / perSecond);
        return std::chrono::duration_cast<Duration>(interval);
    }

    // A gateway that starts later gets the reports that are in the store.
    void addGateway()
    {
        const std::size_t number = m_nodes.size();
        const auto ask = [this, number](std::uint64_t probe, std::vector<BackendState> servers) {
            after(probeTime, [this, number, probe, asked = std::move(servers)] {
                answerProbes(number, probe, asked);
            });
        };
        Node &added = m_nodes.emplace_back(m_table, m_random, number == 0, ask);
        added.number = number;
        added.gateway.setUnixOffset(random(Ms(0), maxClockDifference));
        for (const Node &other : m_nodes) {
            if (other.written)
                send(other.number, other.written, added, {});
        }
        after(random(Ms(0), stepInterval), [this, number] { step(number); });
    }

    void arriveSound()
    {
        after(randomInterval(soundPerSecond), [this] {
            auto call = std::make_shared<SimulatedCall>();
            call->isHot = m_random.generateDouble() < m_scenario.hotShare;
            call->digest = digestOf(call->isHot ? "hot" : std::to_string(++m_lastDigest));
            visit(call);
            arriveSound();
        });
    }

    void arriveDeadly()
    {
        auto call = std::make_shared<SimulatedCall>();
        call->isDeadly = true;
        call->digest = deadlyDigest;
        visit(call);
        after(randomInterval(m_scenario.deadlyPerSecond), [this] { arriveDeadly(); });
    }

    void visit(const Call &call)
    {
        ++call->visits;
        call->gateway = m_random.bounded(m_nodes.size());
        call->attempts = 0;
        call->lostAt.reset();
        ++(call->isDeadly ? m_result.deadly : m_result.sound);
        if (gatewayOf(call).admits(call->digest, m_now))
            return place(call);
        countRefusal(call, m_result.soundRefused);
        onFailed(call);
    }

    CallGateway &gatewayOf(const Call &call) { return m_nodes[call->gateway].gateway; }

    void countRefusal(const Call &call, std::size_t &count)
    {
        if (call->isDeadly)
            return;
        ++count;
        m_result.hotRefused += call->isHot ? 1 : 0;
    }

    // Callers come back once.
    void onFailed(const Call &call)
    {
        if (call->visits == 1)
            after(random(Ms(200), Ms(500)), [this, call] { visit(call); });
    }

    // A server that cannot be reached, or whose queue is full, costs no attempt.
    void place(const Call &call)
    {
        std::vector<std::size_t> usable;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (m_servers[i].isAcceptingCalls() && call->lostAt != i)
                usable.push_back(i);
        }
        if (usable.empty())
            return onFailed(call);
        ++call->attempts;
        const std::size_t server = usable[m_random.bounded(usable.size())];
        if (call->isDeadly && m_result.thirdCrash && m_now > *m_result.thirdCrash + stableTime) {
            ++m_result.lateDeadly;
            m_result.lateWithStore += m_now > m_storeBackAt + stableTime ? 1 : 0;
        }
        after(networkTime, [this, call, server] { reach(server, call); });
    }

    void reach(std::size_t server, const Call &call)
    {
        if (!m_servers[server].isAcceptingCalls()) {
            --call->attempts;
            return place(call);
        }
        m_servers[server].add(call);
        beginCalls(server);
    }

    void beginCalls(std::size_t server)
    {
        CallServer &one = m_servers[server];
        for (Call call = one.beginNext(); call; call = one.beginNext()) {
            if (call->isDeadly)
                return crash(server, true);
            const std::int64_t start = one.info().startedAtMs;
            after(random(Ms(20), Ms(90)), [this, server, start, call] {
                if (m_servers[server].isUp() && m_servers[server].info().startedAtMs == start)
                    answer(server, call);
            });
        }
    }

    // About one in seven answers has an error status, which says as well that the server lives.
    void answer(std::size_t server, const Call &call)
    {
        m_servers[server].end(call);
        gatewayOf(call).recordAnswer(call->digest, m_now);
        beginCalls(server);
    }

    void crash(std::size_t server, bool isDeadly)
    {
        const std::vector<Call> lost = m_servers[server].crash();
        ++m_result.crashes;
        if (isDeadly)
            onDeadlyCrash();
        after(restartTime, [this, server] {
            m_servers[server].restart();
            m_table.put(m_servers[server].info(), m_now);
        });
        for (const Call &call : lost)
            lose(server, call);
    }

    void lose(std::size_t server, const Call &call)
    {
        m_result.soundLost += call->isDeadly ? 0 : 1;
        CallGateway &gateway = gatewayOf(call);
        gateway.recordLost(m_servers[server].info(), call->digest, m_now);
        call->lostAt = server;
        if (!m_scenario.isIdempotent || call->attempts >= maxAttempts)
            return onFailed(call);
        if (!gateway.isQuarantined(call->digest, m_now))
            return place(call);
        countRefusal(call, m_result.soundNotRetried);
        onFailed(call);
    }

    void onDeadlyCrash()
    {
        ++m_result.deadlyCrashes;
        if (m_scenario.isStoreAway && m_result.deadlyCrashes == 2)
            m_storeBackAt = m_now + storeOutage;
        if (m_result.deadlyCrashes != 3)
            return;
        m_result.thirdCrash = m_now;
        after(earlyStart, [this] { addGateway(); });
        after(stableTime, [this] { m_result.openGateways = countOpenGateways(); });
        after(lateStart, [this] { addGateway(); });
        after(lateCheck, [this] { m_result.openLater = countOpenGateways(); });
    }

    std::size_t countOpenGateways() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_nodes.begin(), m_nodes.end(), [this](const Node &node) {
                return !node.gateway.isQuarantined(deadlyDigest, m_now);
            }));
    }

    void crashAny()
    {
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (m_servers[i].isUp())
                up.push_back(i);
        }
        if (!up.empty())
            crash(up[m_random.bounded(up.size())], false);
    }

    // A call that is retried in the zone while the zone is lost is lost again.
    void loseZone()
    {
        const std::size_t zone = m_random.bounded(zoneCount);
        for (std::size_t server = zone; server < m_servers.size(); server += zoneCount)
            after(random(Ms(0), zoneLossTime), [this, server] {
                if (m_servers[server].isUp())
                    crash(server, false);
            });
    }

    // Each gateway sees those that it has streams at.
    void failEngines()
    {
        const std::string start = '@' + std::to_string(++m_engineStart);
        const std::size_t zone = m_random.bounded(zoneCount);
        for (std::size_t engine = zone; engine < engineCount; engine += zoneCount) {
            for (Node &node : m_nodes) {
                if (m_random.bounded(gatewaysPerFailure) == 0)
                    node.gateway.recordFailure("engine-" + std::to_string(engine) + start,
                                               "engines", m_now);
            }
        }
    }

    void answerProbes(std::size_t node, std::uint64_t probe, std::span<const BackendState> asked)
    {
        std::vector<ServerProbeResult> reports;
        for (const BackendState &state : asked) {
            const CallServer &server = m_servers[std::stoul(state.info.id)];
            if (!server.isUp())
                continue;
            ServerProbeResult &report = reports.emplace_back();
            report.serverId = server.info().id;
            report.startedAtMs = server.info().startedAtMs;
        }
        m_nodes[node].gateway.recordProbes(probe, asked, reports, m_now);
    }

    void step(std::size_t number)
    {
        after(stepInterval, [this, number] { step(number); });
        Node &node = m_nodes[number];
        node.gateway.expire(m_table, m_now);
        if (m_now < node.pausedUntil)
            return;
        if (const auto report = node.gateway.takeDueReport(m_now))
            write(node, *report);
    }

    void write(Node &node, const Report &report)
    {
        if (m_now < m_storeBackAt) {
            node.failurePause = std::clamp(2 * node.failurePause, minFailurePause, maxFailurePause);
            node.pausedUntil = m_now + node.failurePause + random(Ms(0), failurePauseSpread);
            return node.gateway.onReportNotPublished();
        }
        node.failurePause = Ms(0);
        countReport();
        node.written = std::make_shared<const Report>(report);
        for (Node &reader : m_nodes) {
            if (reader.number != node.number)
                send(node.number, node.written, reader, m_now);
        }
    }

    void countReport()
    {
        ++m_result.reports;
        m_reportTimes.push_back(m_now);
        while (m_now - m_reportTimes.front() >= std::chrono::seconds(1))
            m_reportTimes.pop_front();
        m_result.mostReports = std::max(m_result.mostReports, m_reportTimes.size());
    }

    /// \param writtenAt zero: before the reader started
    void send(std::size_t reporter, const std::shared_ptr<const Report> &report, Node &reader,
              TimePoint writtenAt)
    {
        // Each gateway reads the reports in the order in which they were written.
        reader.readAt = std::max(reader.readAt, m_now + random(minReadDelay, maxReadDelay));
        m_events.emplace(reader.readAt,
                         [this, reporter, report, number = reader.number, writtenAt] {
                             read(reporter, report, number, writtenAt);
                         });
    }

    void read(std::size_t reporter, const std::shared_ptr<const Report> &report, std::size_t reader,
              TimePoint writtenAt)
    {
        Node &node = m_nodes[reader];
        if (m_now < m_storeBackAt) {
            node.readAt = m_storeBackAt + minReadDelay;
            m_events.emplace(node.readAt, [this, reporter, report, reader, writtenAt] {
                read(reporter, report, reader, writtenAt);
            });
            return;
        }
        const bool isOld = writtenAt == TimePoint {};
        const TimePoint after = isOld ? writtenAt : std::min(writtenAt, m_now - maxReadDelay);
        node.gateway.read(*report, {std::to_string(reporter), after}, m_now);
    }

    const Scenario m_scenario;
    RandomSource m_random;
    TimePoint m_now {std::chrono::hours(1)};
    std::multimap<TimePoint, Action> m_events;
    BackendTable m_table;
    std::deque<CallServer> m_servers;
    std::deque<Node> m_nodes;
    TimePoint m_storeBackAt;
    std::deque<TimePoint> m_reportTimes; ///< of the last second
    std::size_t m_lastDigest = 0;
    std::size_t m_engineStart = 0;
    Result m_result;
};

} // namespace foxtailring
