#include "Fleet.h"
#include "foxtailring/decisions/admission/AdmissionController.h"
#include "Quantile.h"
#include "Report.h"
#include "Scenarios.h"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace foxtailring::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t entryCount = 4;
constexpr std::uint32_t slotsPerEntry = 25;
constexpr double meanRunSeconds = 1;
constexpr double largeAccountShare = 0.7;
constexpr int smallAccounts = 9;
constexpr auto overload = 60s;
constexpr auto settling = 20s; ///< start of the overload that is not measured
constexpr auto aftermath = 20s;
constexpr double demandAfter = 0.8;

struct Call
{
    std::string account;
    std::uint32_t priority = 5;
    TimePoint arrival;
    TimePoint deadline;
    Duration run {};
    TimePoint answered = TimePoint::max(); ///< refused or finished
    bool done = false;
};
using CallPointer = std::shared_ptr<Call>;

/// What stands between the callers and the slots of one entry.
class Gate
{
public:
    explicit Gate(EventLoop &loop)
        : m_loop(loop)
    {
    }
    virtual ~Gate() = default;
    virtual void submit(const CallPointer &call) = 0;
    double busySeconds = 0;

protected:
    void run(const CallPointer &call, std::function<void()> released)
    {
        busySeconds += toSeconds(call->run);
        m_loop.after(call->run, [this, call, released = std::move(released)] {
            call->answered = m_loop.now();
            call->done = call->answered <= call->deadline;
            released();
        });
    }

    EventLoop &m_loop;
};

/// First come, first served.
class FifoGate : public Gate
{
public:
    FifoGate(EventLoop &loop, bool callersLeave)
        : Gate(loop)
        , m_callersLeave(callersLeave)
    {
    }

    void submit(const CallPointer &call) override
    {
        m_queue.push_back(call);
        startNext();
    }

private:
    void startNext()
    {
        while (m_running < slotsPerEntry && !m_queue.empty()) {
            const CallPointer call = m_queue.front();
            m_queue.pop_front();
            if (m_callersLeave && call->deadline <= m_loop.now()) {
                call->answered = call->deadline;
                continue;
            }
            ++m_running;
            run(call, [this] {
                --m_running;
                startNext();
            });
        }
    }

    const bool m_callersLeave;
    std::uint32_t m_running = 0;
    std::deque<CallPointer> m_queue;
};

class FairGate : public Gate
{
public:
    explicit FairGate(EventLoop &loop)
        : Gate(loop)
    {
        m_admission.setLiveEntries(entryCount);
        m_admission.setConcurrencyLimit("reader", slotsPerEntry);
        m_loop.every(100ms, 100ms, [this] { expire(); });
    }

    void submit(const CallPointer &call) override
    {
        const AdmissionRequest request {
            call->account, "reader", {}, call->priority, call->deadline};
        const AdmissionDecision decision = m_admission.submit(request, m_loop.now());
        if (const auto *admitted = std::get_if<Admitted>(&decision))
            start(admitted->ticket, call);
        else if (const auto *queued = std::get_if<Queued>(&decision))
            m_queued.emplace(queued->ticket, call);
        else
            call->answered = m_loop.now();
    }

private:
    void start(Ticket ticket, const CallPointer &call)
    {
        run(call, [this, ticket] {
            m_admission.release(ticket, m_loop.now());
            startNext();
        });
    }

    void startNext()
    {
        for (const Ticket ticket : m_admission.startReady(m_loop.now()))
            start(ticket, m_queued.extract(ticket).mapped());
    }

    void expire()
    {
        for (const ExpiredTicket &expired : m_admission.expire(m_loop.now()))
            m_queued.extract(expired.ticket).mapped()->answered = m_loop.now();
        startNext();
    }

    AdmissionController m_admission;
    std::unordered_map<Ticket, CallPointer> m_queued;
};

double percentDone(const std::vector<CallPointer> &calls, TimePoint from, TimePoint until,
                   const std::function<bool(const Call &)> &wanted)
{
    double all = 0;
    double done = 0;
    for (const CallPointer &call : calls) {
        if (call->arrival < from || call->arrival >= until || !wanted(*call))
            continue;
        ++all;
        done += call->done ? 1 : 0;
    }
    return all > 0 ? 100 * done / all : 0;
}

CallPointer makeCall(Fleet &fleet)
{
    auto call = std::make_shared<Call>();
    call->account = fleet.random.generateDouble() < largeAccountShare
        ? "large"
        : "small-" + std::to_string(fleet.random.bounded(smallAccounts));
    constexpr std::array<std::uint32_t, 5> priorities = {1, 5, 5, 5, 9};
    call->priority = priorities[fleet.random.bounded(priorities.size())];
    call->arrival = fleet.loop.now();
    call->deadline = call->arrival + secondsDuration(4 + 8 * fleet.random.generateDouble());
    call->run = fleet.exponential(meanRunSeconds);
    return call;
}

void summarize(Report &report, const std::string &scenario, const std::string &variant,
               const std::vector<CallPointer> &calls, TimePoint start)
{
    const TimePoint from = start + settling;
    const TimePoint end = start + overload;
    const auto done = [&](const std::function<bool(const Call &)> &wanted) {
        return percentDone(calls, from, end, wanted);
    };
    double inTime = 0;
    std::vector<double> refusals;
    for (const CallPointer &call : calls) {
        inTime += call->done && call->answered >= from && call->answered < end ? 1 : 0;
        if (!call->done && call->arrival >= from && call->arrival < end)
            refusals.push_back(toSeconds(std::min(call->answered, call->deadline) - call->arrival));
    }
    const double capacity = entryCount * slotsPerEntry / meanRunSeconds;
    report.add(scenario, variant, "goodput % of capacity",
               100 * inTime / toSeconds(end - from) / capacity);
    for (const std::uint32_t priority : {1U, 5U, 9U})
        report.add(scenario, variant, "% done, p" + std::to_string(priority),
                   done([&](const Call &call) { return call.priority == priority; }));
    report.add(scenario, variant, "% done, large p5", done([](const Call &call) {
                   return call.priority == 5 && call.account == "large";
               }));
    report.add(scenario, variant, "% done, small p5", done([](const Call &call) {
                   return call.priority == 5 && call.account != "large";
               }));
    report.add(scenario, variant, "p50 s to refusal", quantile(refusals, 0.5));
    report.add(scenario, variant, "p99 s to refusal", quantile(refusals, 0.99));
    report.add(scenario, variant, "% done after",
               percentDone(calls, end, end + aftermath, [](const Call &) { return true; }));
}

using MakeGate = std::function<std::unique_ptr<Gate>(EventLoop &)>;

void runOne(Report &report, const std::string &scenario, const std::string &variant, double demand,
            const MakeGate &makeGate, std::uint64_t seed)
{
    Fleet::Shape shape;
    shape.servers = 0;
    shape.entries = 0;
    Fleet fleet(shape, seed);
    std::vector<std::unique_ptr<Gate>> gates;
    for (std::size_t i = 0; i < entryCount; ++i)
        gates.push_back(makeGate(fleet.loop));

    std::vector<CallPointer> calls;
    const auto arrive = [&] {
        calls.push_back(makeCall(fleet));
        gates[fleet.random.bounded(gates.size())]->submit(calls.back());
    };
    const TimePoint start = fleet.loop.now();
    const double capacity = entryCount * slotsPerEntry / meanRunSeconds;
    fleet.arrivals(capacity * demand, start, start + overload, arrive);
    fleet.arrivals(capacity * demandAfter, start + overload, start + overload + aftermath, arrive);
    fleet.loop.runUntil(start + overload + aftermath + 15s);
    summarize(report, scenario, variant, calls, start);
}

} // namespace

void runOverload(Report &report, std::uint64_t seed)
{
    for (const int demand : {2, 4}) {
        const std::string scenario = "overload: demand " + std::to_string(demand)
            + "x capacity for 60 s, then 0.8x; 1 large and 9 small accounts";
        runOne(
            report, scenario, "plain FIFO", demand,
            [](EventLoop &loop) { return std::make_unique<FifoGate>(loop, false); }, seed);
        runOne(
            report, scenario, "FIFO, callers leave", demand,
            [](EventLoop &loop) { return std::make_unique<FifoGate>(loop, true); }, seed);
        runOne(
            report, scenario, "AdmissionController", demand,
            [](EventLoop &loop) { return std::make_unique<FairGate>(loop); }, seed);
    }
}

} // namespace foxtailring::bench
