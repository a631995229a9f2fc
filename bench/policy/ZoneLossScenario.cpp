#include "Fleet.h"
#include "foxtailring/decisions/admission/AdmissionController.h"
#include "foxtailring/decisions/admission/ResumeAdmission.h"
#include "Quantile.h"
#include "Report.h"
#include "Scenarios.h"

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>

namespace foxtailring::bench {

namespace {

using namespace std::chrono_literals;

constexpr double meanRunSeconds = 20;
constexpr double utilization = 0.5;
constexpr auto newPrefill = 100ms;
constexpr auto resumePrefill = 600ms; ///< prompt and the tokens already delivered
constexpr auto silence = 1s;          ///< time until an entry suspects a server that sends nothing
constexpr auto detection = silence + 500ms; ///< and then fails to attach again
constexpr auto lossAt = 60s;
constexpr auto aftermath = 60s;
constexpr auto newDeadline = 30s;
constexpr double normalWaiting = 5;

struct Plan
{
    const char *name;
    double resumesPerServer = 0; ///< per second, for each live server; 0: all resume at once
};

class ZoneLossSim
{
public:
    ZoneLossSim(const Plan &plan, std::size_t zones, std::uint64_t seed)
        : m_plan(plan)
        , m_fleet(shape(zones), seed)
    {
        for (std::size_t i = 0; i < m_fleet.entries.size(); ++i) {
            m_gates.push_back(std::make_unique<EntryGate>());
            m_gates.back()->admission.setLiveEntries(entryCount());
            m_gates.back()->resumes.setLiveEntries(entryCount());
            m_gates.back()->entry = m_fleet.entries[i].get();
        }
    }

    void run()
    {
        EventLoop &loop = m_fleet.loop;
        m_lossAt = loop.now() + lossAt;
        for (const auto &gate : m_gates)
            loop.every(50ms, 1ms, [this, &gate] { tick(*gate); });
        loop.every(100ms, 100ms, [this] { watchQueues(); });
        const double slots =
            static_cast<double>(m_fleet.servers.size()) * m_fleet.servers[0]->slots();
        m_fleet.arrivals(utilization * slots / meanRunSeconds, loop.now() + 10ms,
                         m_lossAt + aftermath, [this] { offer(); });
        loop.at(m_lossAt, [this] {
            for (const auto &server : m_fleet.servers) {
                if (server->info().availabilityZone == "zone-0")
                    server->kill();
            }
        });
        loop.at(m_lossAt + silence, [this] { suspectDead(); });
        loop.runUntil(m_lossAt + aftermath);
    }

    std::vector<double> resumeSeconds; ///< from the loss of an attempt to the first resumed token
    std::vector<double> newSeconds;    ///< from arrival to first token, in the 10 s after the loss
    double lost = 0;
    double refused = 0;
    double peakWaiting = 0;
    double secondsToNormal = 0;

private:
    struct EntryGate
    {
        FleetEntry *entry = nullptr;
        AdmissionController admission;
        ResumeAdmission resumes;
        std::unordered_map<Ticket, TimePoint> queued;
        std::unordered_map<std::string, TimePoint> resuming; ///< when each was lost
    };

    static Fleet::Shape shape(std::size_t zones)
    {
        Fleet::Shape made;
        made.servers = 48;
        made.zones = zones;
        // Entries of a lost zone die with it. The others see losses only when they use all zones.
        made.entriesAreInZones = false;
        made.slots = 16;
        made.meanRun = secondsDuration(meanRunSeconds);
        return made;
    }
    std::uint32_t entryCount() const { return static_cast<std::uint32_t>(m_fleet.entries.size()); }

    void offer()
    {
        EntryGate &gate = *m_gates[m_fleet.random.bounded(m_gates.size())];
        const TimePoint now = m_fleet.loop.now();
        const auto decision =
            gate.admission.submit(AdmissionRequest {"a", "reader", {}, 5, now + newDeadline}, now);
        if (const auto *admitted = std::get_if<Admitted>(&decision))
            startNew(gate, admitted->ticket, now);
        else if (const auto *queued = std::get_if<Queued>(&decision))
            gate.queued.emplace(queued->ticket, now);
        else
            countRefusal(now);
    }

    void startNew(EntryGate &gate, Ticket ticket, TimePoint arrival)
    {
        const auto choice = gate.entry->router.choose(m_fleet.request(*gate.entry),
                                                      m_fleet.loop.now(), m_fleet.random);
        Job job;
        job.prefill = newPrefill;
        job.run = m_fleet.exponential(meanRunSeconds);
        job.firstToken = [this, arrival] {
            if (arrival >= m_lossAt && arrival < m_lossAt + 10s)
                newSeconds.push_back(toSeconds(m_fleet.loop.now() - arrival));
        };
        submit(gate, ticket, choice.value().serverId, std::move(job));
    }

    void startResume(EntryGate &gate, Ticket ticket, TimePoint lostAt)
    {
        ResumeRequest request;
        request.route = m_fleet.request(*gate.entry);
        request.inputTokens = 3000;
        request.transferBytes = 20000;
        const auto choice =
            gate.entry->router.chooseForResume(request, m_fleet.loop.now(), m_fleet.random);
        Job job;
        job.prefill = resumePrefill;
        job.run = m_fleet.exponential(meanRunSeconds);
        job.firstToken = [this, lostAt] {
            resumeSeconds.push_back(toSeconds(m_fleet.loop.now() - lostAt));
        };
        submit(gate, ticket, choice.value().serverId, std::move(job));
    }

    void submit(EntryGate &gate, Ticket ticket, const std::string &id, Job job)
    {
        gate.entry->table.startWork(id);
        job.finished = [this, &gate, ticket, id] {
            gate.entry->table.endWork(id);
            gate.admission.release(ticket, m_fleet.loop.now());
            startQueued(gate);
        };
        job.lost = [this, &gate, ticket, id] {
            ++lost;
            gate.entry->table.endWork(id);
            const TimePoint lostAt = m_fleet.loop.now();
            m_fleet.loop.after(detection,
                               [this, &gate, ticket, lostAt] { resume(gate, ticket, lostAt); });
        };
        SimServer &server = m_fleet.server(id);
        if (server.isAlive())
            server.submit(std::move(job));
        else
            job.lost();
    }

    void resume(EntryGate &gate, Ticket ticket, TimePoint lostAt)
    {
        if (m_plan.resumesPerServer == 0) {
            startResume(gate, ticket, lostAt);
            return;
        }
        const std::string id = std::to_string(ticket);
        gate.resuming.emplace(id, lostAt);
        gate.resumes.submit("reader", id, 5, m_fleet.loop.now(), m_fleet.random);
        startReady(gate);
    }

    void startReady(EntryGate &gate)
    {
        for (const std::string &id : gate.resumes.takeReady(m_fleet.loop.now()))
            startResume(gate, std::stoull(id), gate.resuming.extract(id).mapped());
    }

    void startQueued(EntryGate &gate)
    {
        for (const Ticket ticket : gate.admission.startReady(m_fleet.loop.now()))
            startNew(gate, ticket, gate.queued.extract(ticket).mapped());
    }

    /// The connections to the dead servers have been silent for too long.
    void suspectDead()
    {
        for (const auto &gate : m_gates) {
            for (const auto &server : m_fleet.servers) {
                if (!server->isAlive())
                    gate->entry->table.markSuspected(server->info().id, m_fleet.loop.now());
            }
        }
    }

    void tick(EntryGate &gate)
    {
        const TimePoint now = m_fleet.loop.now();
        const auto candidates = gate.entry->table.candidates("reader", now);
        gate.admission.updateCapacity("reader", candidates, entryCount());
        gate.resumes.setRate("reader",
                             m_plan.resumesPerServer * static_cast<double>(candidates.size()));
        if (m_plan.resumesPerServer > 0)
            gate.admission.setNewWorkShare("reader", gate.resumes.newWorkShare("reader", now));
        startReady(gate);
        for (const ExpiredTicket &expired : gate.admission.expire(now)) {
            gate.queued.erase(expired.ticket);
            countRefusal(now);
        }
        startQueued(gate);
    }

    void countRefusal(TimePoint now) { refused += now >= m_lossAt ? 1 : 0; }

    /// Normal: at most a few requests wait anywhere.
    void watchQueues()
    {
        double waiting = 0;
        for (const auto &server : m_fleet.servers)
            waiting += static_cast<double>(server->waiting());
        for (const auto &gate : m_gates)
            waiting += static_cast<double>(gate->queued.size() + gate->resuming.size());
        const TimePoint now = m_fleet.loop.now();
        if (now < m_lossAt)
            return;
        peakWaiting = std::max(peakWaiting, waiting);
        if (waiting > normalWaiting)
            secondsToNormal = toSeconds(now - m_lossAt);
    }

    const Plan m_plan;
    Fleet m_fleet;
    std::vector<std::unique_ptr<EntryGate>> m_gates;
    TimePoint m_lossAt;
};

double percentBelow(const std::vector<double> &values, double limit)
{
    const auto below =
        std::count_if(values.begin(), values.end(), [&](double value) { return value <= limit; });
    return values.empty() ? 0
                          : 100 * static_cast<double>(below) / static_cast<double>(values.size());
}

void runZones(Report &report, std::size_t zones, std::uint64_t seed)
{
    const std::string scenario = "zone loss: 20 entries, 48 servers of 16 slots, load 0.5, one of "
        + std::to_string(zones) + " zones lost";
    for (const Plan &plan : {Plan {"at once, like new work", 0}, Plan {"ResumeAdmission", 10},
                             Plan {"ResumeAdmission, 1.5/s a server", 1.5}}) {
        ZoneLossSim sim(plan, zones, seed);
        sim.run();
        report.add(scenario, plan.name, "lost", sim.lost);
        report.add(scenario, plan.name, "p50 resume s", quantile(sim.resumeSeconds, 0.5));
        report.add(scenario, plan.name, "p99 resume s", quantile(sim.resumeSeconds, 0.99));
        report.add(scenario, plan.name, "% resumed in 4 s", percentBelow(sim.resumeSeconds, 4));
        report.add(scenario, plan.name, "p50 new s", quantile(sim.newSeconds, 0.5));
        report.add(scenario, plan.name, "p99 new s", quantile(sim.newSeconds, 0.99));
        report.add(scenario, plan.name, "peak waiting", sim.peakWaiting);
        report.add(scenario, plan.name, "s until normal", sim.secondsToNormal);
        report.add(scenario, plan.name, "new refused", sim.refused);
    }
}

} // namespace

void runZoneLoss(Report &report, std::uint64_t seed)
{
    for (const std::size_t zones : {3, 12})
        runZones(report, zones, seed);
}

} // namespace foxtailring::bench
