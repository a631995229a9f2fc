#include "Fleet.h"
#include "foxtailring/decisions/admission/RetryBudget.h"
#include "Report.h"
#include "Scenarios.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace foxtailring::bench {

namespace {

using namespace std::chrono_literals;

constexpr double meanRunSeconds = 1;
constexpr double utilization = 0.7;
constexpr std::size_t queuePerSlot = 1; ///< a sidecar refuses work beyond this
constexpr int mostRetries = 4;
constexpr auto refusalTime = 20ms;
constexpr auto outageAt = 20s;
constexpr auto outage = 40s;

struct Counts
{
    double offered = 0;
    double sent = 0;
    double done = 0;
    double retries = 0;
};

class RetrySim
{
public:
    RetrySim(bool hasBudget, std::uint64_t seed)
        : m_hasBudget(hasBudget)
        , m_fleet(Fleet::Shape {}, seed)
        , m_budgets(m_fleet.entries.size())
    {
    }

    Counts run()
    {
        EventLoop &loop = m_fleet.loop;
        m_outageFrom = loop.now() + outageAt;
        const double slots = static_cast<double>(m_fleet.servers.size()) * 8;
        m_fleet.arrivals(utilization * slots / meanRunSeconds, loop.now(), m_outageFrom + outage,
                         [this] { offer(); });
        loop.at(m_outageFrom, [this] {
            for (std::size_t i = 0; i < m_fleet.servers.size(); i += 2)
                m_fleet.servers[i]->kill();
        });
        loop.runUntil(m_outageFrom + outage + 10s);
        return m_counts;
    }

private:
    void offer()
    {
        if (inOutage())
            ++m_counts.offered;
        send(m_fleet.random.bounded(m_fleet.entries.size()), {}, 0);
    }

    void send(std::size_t entryIndex, std::vector<std::string> excluded, int retry)
    {
        FleetEntry &entry = *m_fleet.entries[entryIndex];
        RouteRequest request = m_fleet.request(entry);
        request.excludedServerIds = std::move(excluded);
        const auto choice = entry.router.choose(request, m_fleet.loop.now(), m_fleet.random);
        if (!choice)
            return;
        const std::string id = choice.value().serverId;
        if (inOutage()) {
            ++m_counts.sent;
            m_counts.retries += retry > 0 ? 1 : 0;
        }
        SimServer &server = m_fleet.server(id);
        if (!server.isAlive()) {
            entry.table.markSuspected(id, m_fleet.loop.now());
            retryLater(entryIndex, std::move(request.excludedServerIds), id, retry);
        } else if (server.waiting() >= server.slots() * queuePerSlot) {
            retryLater(entryIndex, std::move(request.excludedServerIds), id, retry);
        } else {
            submit(entryIndex, server);
        }
    }

    void submit(std::size_t entryIndex, SimServer &server)
    {
        FleetEntry &entry = *m_fleet.entries[entryIndex];
        const std::string id = server.info().id;
        entry.table.startWork(id);
        Job job;
        job.run = m_fleet.exponential(meanRunSeconds);
        job.finished = [this, entryIndex, &entry, id] {
            entry.table.endWork(id);
            m_budgets[entryIndex].deposit("reader", m_fleet.loop.now());
            m_counts.done += inOutage() ? 1 : 0;
        };
        job.lost = [this, entryIndex, &entry, id] {
            entry.table.endWork(id);
            entry.table.markSuspected(id, m_fleet.loop.now());
            retryLater(entryIndex, {}, id, 0);
        };
        server.submit(std::move(job));
    }

    void retryLater(std::size_t entryIndex, std::vector<std::string> excluded,
                    const std::string &failed, int retry)
    {
        if (retry >= mostRetries)
            return;
        if (m_hasBudget && !m_budgets[entryIndex].tryConsume("reader", m_fleet.loop.now()))
            return;
        excluded.push_back(failed);
        m_fleet.loop.after(refusalTime,
                           [this, entryIndex, excluded = std::move(excluded), retry]() mutable {
                               send(entryIndex, std::move(excluded), retry + 1);
                           });
    }

    bool inOutage() const
    {
        const TimePoint now = m_fleet.loop.now();
        return now >= m_outageFrom && now < m_outageFrom + outage;
    }

    const bool m_hasBudget;
    Fleet m_fleet;
    std::vector<RetryBudget> m_budgets;
    TimePoint m_outageFrom;
    Counts m_counts;
};

} // namespace

void runRetries(Report &report, std::uint64_t seed)
{
    const std::string scenario =
        "retries: 20 entries, 40 servers, load 0.7, half of the servers down for 40 s";
    for (const bool hasBudget : {false, true}) {
        const Counts counts = RetrySim(hasBudget, seed).run();
        const std::string variant = hasBudget ? "RetryBudget" : "up to 4 retries";
        report.add(scenario, variant, "sent/offered", counts.sent / counts.offered);
        report.add(scenario, variant, "retries/done", counts.retries / counts.done);
        report.add(scenario, variant, "% done", 100 * counts.done / counts.offered);
    }
}

} // namespace foxtailring::bench
