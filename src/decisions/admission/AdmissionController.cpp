#include "foxtailring/decisions/admission/AdmissionController.h"

#include "AccountUsage.h"
#include "ServiceAdmission.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace foxtailring {

namespace {

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Converts seconds to a Duration, capped so that it does not overflow.
Duration durationOf(double seconds)
{
    constexpr double maxSeconds = 1e6;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(seconds, maxSeconds)));
}

} // namespace

struct AdmissionController::State
{
    struct TicketRecord
    {
        ServiceAdmission *service = nullptr;
        AccountUsage *account = nullptr;
        std::size_t priority = 0;
        bool running = false;
        TimePoint startedAt;
    };

    explicit State(const Settings &controllerSettings)
        : settings(controllerSettings)
    {
    }

    ServiceAdmission &service(std::string_view name);
    AccountUsage &account(const AdmissionRequest &request, TimePoint now);
    bool mayStart(const AccountUsage &account) const { return account.mayStart(entries); }
    bool mayStartNow(const ServiceAdmission &service, const AccountUsage &account,
                     std::size_t priority) const;
    double expectedWaitSeconds(const ServiceAdmission &service, const AccountUsage &account,
                               std::size_t priority, std::size_t ahead, std::size_t ownAhead,
                               TimePoint now) const;
    double maxWaitSeconds(const ServiceAdmission &service, Duration timeLeft) const;
    Ticket issueTicket(ServiceAdmission &service, AccountUsage &account, std::size_t priority);
    void start(TicketRecord &record, TimePoint now);
    AdmissionRefusal overloadRefusal(double waitSeconds, double maxWaitSeconds);
    Duration jitteredRetryAfter(double seconds);
    void startQueued(ServiceAdmission &service, TimePoint now, std::vector<Ticket> &started);
    void expireQueued(ServiceAdmission &service, TimePoint now,
                      std::vector<ExpiredTicket> &expired);

    const Settings &settings;
    std::uint32_t entries = 1;
    Ticket lastTicket = 0;
    std::uint64_t refusals = 0;
    std::map<std::string, ServiceAdmission, std::less<>> services;
    std::map<std::string, AccountUsage, std::less<>> accounts;
    std::unordered_map<Ticket, TicketRecord> tickets;
};

ServiceAdmission &AdmissionController::State::service(std::string_view name)
{
    const auto found = services.find(name);
    if (found != services.end())
        return found->second;
    return services.emplace(std::string(name), ServiceAdmission(secondsOf(settings.assumedRunTime)))
        .first->second;
}

AccountUsage &AdmissionController::State::account(const AdmissionRequest &request, TimePoint now)
{
    AccountUsage &share = accounts[request.account];
    share.limits = request.limits;
    const double perSecond = request.limits.requestsPerSecond / entries;
    share.requestBucket.configure(
        perSecond, std::max(settings.minBurstRequests, perSecond * settings.burstSeconds), now);
    return share;
}

bool AdmissionController::State::mayStartNow(const ServiceAdmission &service,
                                             const AccountUsage &account,
                                             std::size_t priority) const
{
    if (!service.hasFreeSlot() || !mayStart(account))
        return false;
    for (std::size_t i = 0; i <= priority; ++i) {
        if (service.queues[i].hasEligible(
                [&](const AccountUsage &other) { return mayStart(other); }))
            return false;
    }
    return true;
}

double AdmissionController::State::expectedWaitSeconds(const ServiceAdmission &service,
                                                       const AccountUsage &account,
                                                       std::size_t priority, std::size_t ahead,
                                                       std::size_t ownAhead, TimePoint now) const
{
    const double serviceWait = service.expectedWaitSeconds(priority, ahead, now);
    if (mayStart(account))
        return serviceWait;
    const double accountWait = (static_cast<double>(ownAhead) + 1) * service.meanRunSeconds()
        / account.maxConcurrentPerEntry(entries);
    return std::max(serviceWait, accountWait);
}

double AdmissionController::State::maxWaitSeconds(const ServiceAdmission &service,
                                                  Duration timeLeft) const
{
    // A request that starts too late to finish in time would take capacity from those that can.
    const double secondsLeft = secondsOf(timeLeft);
    const double maxWait = secondsLeft * settings.maxWaitShare;
    const double waitLeavingRunTime = secondsLeft - service.meanRunSeconds();
    return std::clamp(waitLeavingRunTime, maxWait * settings.minWaitFraction, maxWait);
}

Ticket AdmissionController::State::issueTicket(ServiceAdmission &service, AccountUsage &account,
                                               std::size_t priority)
{
    const Ticket ticket = ++lastTicket;
    tickets.emplace(ticket, TicketRecord {&service, &account, priority, false, {}});
    return ticket;
}

void AdmissionController::State::start(TicketRecord &record, TimePoint now)
{
    record.running = true;
    record.startedAt = now;
    ++record.service->running;
    ++record.account->running;
}

AdmissionRefusal AdmissionController::State::overloadRefusal(double waitSeconds,
                                                             double maxWaitSeconds)
{
    // By then the expected wait should have fallen to the longest one allowed.
    const Duration retryAfter = jitteredRetryAfter(waitSeconds - maxWaitSeconds);
    return AdmissionRefusal {ErrorCode::Overloaded, retryAfter,
                             "the expected wait exceeds what the deadline leaves"};
}

Duration AdmissionController::State::jitteredRetryAfter(double seconds)
{
    // Adds up to a quarter, so that callers refused together do not retry together. Successive
    // multiples of the golden ratio, modulo 1, spread evenly.
    constexpr double goldenRatio = 0.6180339887498949;
    const double fraction = std::fmod(static_cast<double>(++refusals) * goldenRatio, 1.0);
    const Duration delay =
        std::clamp(durationOf(seconds), settings.minRetryAfter, settings.maxRetryAfter);
    return delay + durationOf(secondsOf(delay) * fraction / 4);
}

void AdmissionController::State::startQueued(ServiceAdmission &service, TimePoint now,
                                             std::vector<Ticket> &started)
{
    for (FairQueue &queue : service.queues) {
        while (service.hasFreeSlot()) {
            const auto ticket =
                queue.pop([&](const AccountUsage &account) { return mayStart(account); });
            if (!ticket)
                break;
            start(tickets.find(*ticket)->second, now);
            started.push_back(*ticket);
        }
    }
}

void AdmissionController::State::expireQueued(ServiceAdmission &service, TimePoint now,
                                              std::vector<ExpiredTicket> &expired)
{
    std::size_t queuedAbove = 0;
    for (std::size_t priority = 0; priority < ServiceAdmission::priorityCount; ++priority) {
        FairQueue &queue = service.queues[priority];
        if (queue.size() == 0)
            continue;
        queue.removeLate([&](const FairQueue::Item &item, const AccountUsage &account,
                             std::size_t ahead, std::size_t ownAhead) {
            const double wait = service.limit == 0
                ? secondsOf(settings.maxRetryAfter)
                : expectedWaitSeconds(service, account, priority, queuedAbove + ahead, ownAhead,
                                      now);
            if (now < item.latestStart && now + durationOf(wait) <= item.latestStart)
                return false;
            tickets.erase(item.ticket);
            expired.push_back(ExpiredTicket {item.ticket, overloadRefusal(wait, 0)});
            return true;
        });
        queuedAbove += queue.size();
    }
}

AdmissionController::AdmissionController()
    : AdmissionController(Settings {})
{
}

AdmissionController::AdmissionController(Settings settings)
    : m_settings(settings)
    , m_state(std::make_unique<State>(m_settings))
{
}

AdmissionController::~AdmissionController() = default;

void AdmissionController::setLiveEntries(std::uint32_t entries)
{
    const std::lock_guard lock(m_mutex);
    m_state->entries = std::max<std::uint32_t>(1, entries);
}

void AdmissionController::updateCapacity(std::string_view service,
                                         std::span<const ServerState> servers,
                                         std::uint32_t sharingEntries)
{
    double capacity = 0;
    double freeCapacity = 0;
    double ownInFlight = 0;
    double ownOnLeavingServers = 0;
    for (const ServerState &state : servers) {
        if (state.status == ServerStatus::Leaving)
            ownOnLeavingServers += state.ownInFlight;
        if (state.status != ServerStatus::Live || !state.inSubset)
            continue;
        const double serverCapacity =
            state.capacity > 0 ? state.capacity : m_settings.assumedCapacity;
        const double reportedWork = static_cast<double>(state.running) + state.waiting;
        const double workOfOthers = std::max(0.0, reportedWork - state.ownInFlightAtReport);
        capacity += serverCapacity;
        ownInFlight += state.ownInFlight;
        freeCapacity += std::max(0.0, serverCapacity - workOfOthers - state.ownInFlight);
    }
    const double share =
        capacity * m_settings.overcommitFactor / std::max<std::uint32_t>(1, sharingEntries);
    const double limit = std::max(share, ownInFlight + freeCapacity * m_settings.borrowFraction);
    // Work on leaving servers counts as running but uses no capacity of the live ones, so the limit
    // is raised by it.
    setConcurrencyLimit(
        service,
        capacity > 0 ? static_cast<std::uint32_t>(std::ceil(limit + ownOnLeavingServers)) : 0);
}

void AdmissionController::setConcurrencyLimit(std::string_view service, std::uint32_t limit)
{
    const std::lock_guard lock(m_mutex);
    m_state->service(service).limit = limit;
}

void AdmissionController::setNewWorkShare(std::string_view service, double share)
{
    const std::lock_guard lock(m_mutex);
    m_state->service(service).newWorkShare = std::clamp(share, 0.0, 1.0);
}

AdmissionDecision AdmissionController::submit(const AdmissionRequest &request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    State &state = *m_state;
    ServiceAdmission &service = state.service(request.service);
    AccountUsage &account = state.account(request, now);
    const std::size_t priority =
        std::min<std::size_t>(request.priority, ServiceAdmission::priorityCount - 1);

    if (service.limit == 0)
        return AdmissionRefusal {
            ErrorCode::Unavailable, state.jitteredRetryAfter(secondsOf(m_settings.minRetryAfter)),
            "no backend server of service \"" + request.service + "\" takes new work"};
    if (request.deadline <= now)
        return AdmissionRefusal {ErrorCode::Timeout, Duration {}, "the deadline has passed"};

    const bool startsNow = state.mayStartNow(service, account, priority);
    const FairQueue &queue = service.queues[priority];
    const Duration timeLeft =
        request.deadline == TimePoint::max() ? m_settings.defaultDeadline : request.deadline - now;
    const double maxWait = state.maxWaitSeconds(service, timeLeft);
    double wait = 0;
    if (!startsNow) {
        wait = state.expectedWaitSeconds(service, account, priority,
                                         service.queuedAbove(priority) + queue.aheadOf(account),
                                         queue.lengthOf(account), now);
        if (wait > maxWait || service.queued() >= m_settings.maxQueued)
            return state.overloadRefusal(wait, maxWait);
    }
    if (request.limits.requestsPerSecond > 0 && !account.requestBucket.tryTake(now))
        return AdmissionRefusal {
            ErrorCode::LimitExceeded,
            state.jitteredRetryAfter(secondsOf(account.requestBucket.timeUntilToken(now))),
            "client account \"" + request.account + "\" exceeds its requests per second"};

    service.recordAccepted(priority, now);
    const Ticket ticket = state.issueTicket(service, account, priority);
    if (startsNow) {
        state.start(state.tickets.find(ticket)->second, now);
        return Admitted {ticket};
    }
    service.queues[priority].push(account, FairQueue::Item {ticket, now + durationOf(maxWait)});
    return Queued {ticket, durationOf(wait)};
}

void AdmissionController::release(Ticket ticket, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_state->tickets.find(ticket);
    if (found == m_state->tickets.end())
        return;
    State::TicketRecord &record = found->second;
    if (record.running) {
        --record.service->running;
        --record.account->running;
        record.service->recordRun(now - record.startedAt);
    } else {
        record.service->queues[record.priority].remove(*record.account, ticket);
    }
    m_state->tickets.erase(found);
}

std::vector<Ticket> AdmissionController::startReady(TimePoint now)
{
    std::vector<Ticket> started;
    const std::lock_guard lock(m_mutex);
    for (auto &[name, service] : m_state->services)
        m_state->startQueued(service, now, started);
    return started;
}

std::vector<ExpiredTicket> AdmissionController::expire(TimePoint now)
{
    std::vector<ExpiredTicket> expired;
    const std::lock_guard lock(m_mutex);
    for (auto &[name, service] : m_state->services)
        m_state->expireQueued(service, now, expired);
    return expired;
}

Duration AdmissionController::meanRunTime(std::string_view service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_state->services.find(service);
    return found == m_state->services.end() ? m_settings.assumedRunTime
                                            : durationOf(found->second.meanRunSeconds());
}

std::uint32_t AdmissionController::concurrencyLimit(std::string_view service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_state->services.find(service);
    return found == m_state->services.end() ? 0 : found->second.effectiveLimit();
}

std::size_t AdmissionController::running(std::string_view service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_state->services.find(service);
    return found == m_state->services.end() ? 0 : found->second.running;
}

std::size_t AdmissionController::queued(std::string_view service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_state->services.find(service);
    return found == m_state->services.end() ? 0 : found->second.queued();
}

} // namespace foxtailring
