#include "AdmissionGate.h"

#include "AdmissionPass.h"

#include <utility>

namespace foxtailring {

namespace {

// Bounds how late a queued request is started when a report, not a release, makes room.
constexpr std::chrono::milliseconds pumpInterval {50};

} // namespace

AdmissionPass::AdmissionPass(AdmissionGate &gate, Ticket ticket)
    : m_gate(gate)
    , m_ticket(ticket)
{
}

AdmissionPass::~AdmissionPass()
{
    m_gate.release(m_ticket);
}

AdmissionGate::AdmissionGate(WorkerPool &pool, AdmissionController &controller, Clock clock)
    : m_controller(controller)
    , m_clock(std::move(clock))
    , m_timer(pool)
{
    m_timer.every(pumpInterval, [this] { pump(); });
}

std::optional<Ticket> AdmissionGate::submit(const AdmissionRequest &request, Hook hook)
{
    std::unique_lock lock(m_mutex);
    const AdmissionDecision decision = m_controller.submit(request, m_clock());
    if (const auto *queued = std::get_if<Queued>(&decision)) {
        m_queued.emplace(queued->ticket, std::move(hook));
        return queued->ticket;
    }
    lock.unlock();
    if (const auto *admitted = std::get_if<Admitted>(&decision))
        startCall(std::move(hook), admitted->ticket)();
    else
        hook(nullptr, std::get<AdmissionRefusal>(decision));
    return std::nullopt;
}

void AdmissionGate::withdraw(Ticket ticket)
{
    const std::lock_guard lock(m_mutex);
    // One that is not queued any more has its own pass.
    if (m_queued.erase(ticket) > 0)
        m_controller.release(ticket, m_clock());
}

void AdmissionGate::release(Ticket ticket)
{
    m_controller.release(ticket, m_clock());
    pump();
}

void AdmissionGate::pump()
{
    std::vector<Call> calls;
    {
        const std::lock_guard lock(m_mutex);
        if (m_queued.empty())
            return;
        takeStarted(calls);
        takeExpired(calls);
    }
    for (const Call &call : calls)
        call();
}

AdmissionGate::Call AdmissionGate::startCall(Hook hook, Ticket ticket)
{
    return [this, hook = std::move(hook), ticket] {
        hook(std::make_shared<AdmissionPass>(*this, ticket), {});
    };
}

void AdmissionGate::takeStarted(std::vector<Call> &calls)
{
    for (const Ticket ticket : m_controller.startReady(m_clock())) {
        auto queued = m_queued.extract(ticket);
        if (!queued.empty())
            calls.push_back(startCall(std::move(queued.mapped()), ticket));
    }
}

void AdmissionGate::takeExpired(std::vector<Call> &calls)
{
    for (const ExpiredTicket &expired : m_controller.expire(m_clock())) {
        auto queued = m_queued.extract(expired.ticket);
        if (queued.empty())
            continue;
        calls.emplace_back([hook = std::move(queued.mapped()), refusal = expired.refusal] {
            hook(nullptr, refusal);
        });
    }
}

} // namespace foxtailring
