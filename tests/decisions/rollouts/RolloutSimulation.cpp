#include "RolloutSimulation.h"

#include "foxtailring/decisions/placement/RendezvousHash.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtailring {

namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms tickTime {10};
constexpr Ms stepInterval {250};
constexpr std::size_t limitedBadAnswers = 50; ///< after which the time to roll back runs
const std::string serviceName = "engine";

std::string gatewayName(std::size_t index)
{
    return "g" + std::to_string(index);
}

} // namespace

RolloutSimulation::RolloutSimulation(Settings settings)
    : m_settings(std::move(settings))
    , m_random(RandomSource(m_settings.seed))
{
    startServers("v1");
    for (std::size_t i = 0; i < m_settings.gateways; ++i) {
        m_gateways.push_back(std::make_unique<Gateway>());
        start(i);
    }
}

void RolloutSimulation::startServers(const std::string &version)
{
    for (const char *zone : {"a", "b", "c", "d", "e", "f"}) {
        for (std::size_t i = 0; i < m_settings.serversPerZone; ++i) {
            Server server;
            server.info.id = version + zone + std::to_string(i);
            server.info.service = serviceName;
            server.info.availabilityZone = zone;
            server.info.version = version;
            m_servers.push_back(server);
        }
    }
}

RolloutEnvironment RolloutSimulation::environmentOf(std::size_t gateway)
{
    RolloutEnvironment environment;
    environment.servers = [this](std::string_view, TimePoint) {
        std::vector<BackendInfo> servers;
        for (const Server &server : m_servers)
            servers.push_back(server.info);
        return servers;
    };
    environment.fleet = [this, gateway](std::string_view service) {
        RolloutFleet fleet;
        std::vector<std::string> names;
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if (!m_gateways[i]->isUp)
                continue;
            names.push_back(gatewayName(i));
            if (i != gateway)
                fleet.otherIds.push_back(gatewayName(i));
        }
        fleet.size = names.size();
        const std::uint64_t own =
            RendezvousHash::weight(std::hash<std::string_view> {}(service), gatewayName(gateway));
        for (const std::string &name : fleet.otherIds)
            fleet.rank +=
                RendezvousHash::weight(std::hash<std::string_view> {}(service), name) > own ? 1 : 0;
        return fleet;
    };
    environment.storeAge = [this, gateway](TimePoint now) -> std::optional<Duration> {
        return now - m_gateways[gateway]->confirmedAt;
    };
    environment.unixTime = [](TimePoint now) {
        return std::chrono::duration_cast<Ms>(now.time_since_epoch());
    };
    environment.random = [this] { return m_random.generateDouble(); };
    return environment;
}

std::size_t RolloutSimulation::firstWriter() const
{
    std::size_t best = 0;
    std::uint64_t bestWeight = 0;
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        const std::uint64_t weight =
            RendezvousHash::weight(std::hash<std::string_view> {}(serviceName), gatewayName(i));
        if (m_gateways[i]->isUp && weight >= bestWeight) {
            best = i;
            bestWeight = weight;
        }
    }
    return best;
}

void RolloutSimulation::kill(std::size_t gateway)
{
    m_gateways[gateway]->isUp = false;
    std::erase_if(m_work, [gateway](const auto &one) { return one.second.gateway == gateway; });
    for (const auto &other : m_gateways) {
        if (other->rollouts)
            other->rollouts->removeWitnesses(gatewayName(gateway));
    }
}

void RolloutSimulation::start(std::size_t gateway)
{
    Gateway &one = *m_gateways[gateway];
    one.rollouts = std::make_unique<Rollouts>(m_rolloutSettings, environmentOf(gateway));
    one.isUp = true;
    one.pollAt = m_now;
    one.stepAt = m_now + Ms(m_random.bounded(stepInterval.count()));
    one.confirmedAt = m_now;
    readAll(gateway);
}

// Witnesses of the others are the latest of each.
void RolloutSimulation::readAll(std::size_t gateway)
{
    Gateway &one = *m_gateways[gateway];
    Rollout &rollout = one.rollouts->of(serviceName);
    if (m_storedOrder)
        rollout.setOrder(*m_storedOrder, m_orderRevision, false, m_now);
    else
        rollout.removeOrder(m_revision.epoch, m_now);
    if (m_storedStatus)
        rollout.setStatus(*m_storedStatus, m_statusRevision, m_now);
    else
        rollout.removeStatus(m_revision.epoch);
    for (const Change &change : m_changes) {
        if (change.kind == ChangeKind::Witness && change.revision.epoch == m_revision.epoch)
            apply(gateway, change, false);
    }
    one.seenChanges = m_changes.size();
}

void RolloutSimulation::announce(Change change)
{
    ++m_revision.number;
    change.revision = m_revision;
    m_changes.push_back(std::move(change));
}

void RolloutSimulation::order(const std::string &version)
{
    const bool isFirst =
        std::none_of(m_servers.begin(), m_servers.end(),
                     [&version](const Server &server) { return server.info.version == version; });
    m_orderedAt = m_now;
    m_newVersion = version;
    m_figures = {};
    m_storedOrder = RolloutOrder {serviceName, version, m_settings.ramp};
    announce({ChangeKind::Order, {}, m_storedOrder, std::nullopt, 0, std::nullopt});
    m_orderRevision = m_revision;
    if (isFirst)
        startServers(version);
}

void RolloutSimulation::deleteOrder()
{
    m_storedOrder.reset();
    announce({ChangeKind::Order, {}, std::nullopt, std::nullopt, 0, std::nullopt});
}

void RolloutSimulation::removeServers(const std::string &version)
{
    std::erase_if(m_servers,
                  [&version](const Server &server) { return server.info.version == version; });
}

void RolloutSimulation::restoreStore(Ms orderDelay)
{
    m_storedOrder.reset();
    m_storedStatus.reset();
    ++m_revision.epoch;
    m_revision.number = 1;
    m_statusRevision = {m_revision.epoch, 0};
    m_orderRewriteAt = m_now + orderDelay;
    for (std::size_t i = 0; i < m_gateways.size(); ++i)
        readAll(i);
}

void RolloutSimulation::addGrey(bool isNew, double failureRate)
{
    const auto found = std::find_if(m_servers.begin(), m_servers.end(), [&](const Server &server) {
        return (server.info.version == m_newVersion) == isNew && server.failureRate == 0;
    });
    found->failureRate = failureRate;
}

void RolloutSimulation::setZoneDark(const std::string &zone, bool isDark)
{
    for (Server &server : m_servers) {
        if (server.info.availabilityZone == zone)
            server.isDark = isDark;
    }
}

void RolloutSimulation::run(Ms time, const std::function<void(RolloutSimulation &)> &onTick)
{
    const TimePoint end = m_now + time;
    while (m_now < end) {
        m_now += tickTime;
        if (onTick)
            onTick(*this);
        tick();
    }
}

void RolloutSimulation::tick()
{
    if (m_orderRewriteAt && m_now >= *m_orderRewriteAt) {
        m_orderRewriteAt.reset();
        m_storedOrder = RolloutOrder {serviceName, m_newVersion, m_settings.ramp};
        announce({ChangeKind::Order, {}, m_storedOrder, std::nullopt, 0, std::nullopt});
        m_orderRevision = m_revision;
    }
    while (!m_work.empty() && m_work.begin()->first <= m_now) {
        auto node = m_work.extract(m_work.begin());
        finish(std::move(node.mapped()));
    }
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        if (!runs(*m_gateways[i]))
            continue;
        if (m_now >= m_gateways[i]->pollAt)
            poll(i);
        if (m_now >= m_gateways[i]->stepAt)
            step(i);
    }
    for (std::size_t route = 0; route < m_settings.routes.size(); ++route) {
        const double mean = m_settings.routes[route].requestsPerSecond
            * std::chrono::duration<double>(tickTime).count();
        auto count = static_cast<std::size_t>(mean);
        count += m_random.generateDouble() < mean - std::floor(mean) ? 1 : 0;
        for (std::size_t i = 0; i < count; ++i)
            arrive(route);
    }
}

void RolloutSimulation::poll(std::size_t gateway)
{
    Gateway &one = *m_gateways[gateway];
    one.pollAt = m_now + Ms(m_random.bounded(m_settings.maxWatchDelay.count() + 1));
    if (m_isStoreAway)
        return;
    one.confirmedAt = m_now;
    for (; one.seenChanges < m_changes.size(); ++one.seenChanges)
        apply(gateway, m_changes[one.seenChanges], true);
}

void RolloutSimulation::apply(std::size_t gateway, const Change &change, bool isLive)
{
    Rollouts &rollouts = *m_gateways[gateway]->rollouts;
    Rollout &rollout = rollouts.of(serviceName);
    switch (change.kind) {
    case ChangeKind::Order:
        if (change.order)
            return rollout.setOrder(*change.order, change.revision, isLive, m_now);
        return rollout.removeOrder(change.revision.epoch, m_now);
    case ChangeKind::Status:
        return rollout.setStatus(*change.status, change.revision, m_now);
    case ChangeKind::Witness:
        if (change.gateway != gateway && m_gateways[change.gateway]->isUp)
            rollouts.setWitnesses(gatewayName(change.gateway), *change.witnesses);
        return;
    }
}

void RolloutSimulation::step(std::size_t gateway)
{
    Gateway &one = *m_gateways[gateway];
    one.stepAt = m_now + stepInterval;
    Rollout &rollout = one.rollouts->of(serviceName);
    rollout.step(m_now);
    if (const auto status = rollout.takeDueStatus(m_now))
        writeStatus(rollout, *status);
    if (m_isStoreAway)
        return;
    if (auto witnesses = one.rollouts->takeDueWitnesses(m_now)) {
        ++m_figures.storeWrites;
        announce({ChangeKind::Witness, {}, std::nullopt, std::nullopt, gateway, witnesses});
    }
}

void RolloutSimulation::writeStatus(Rollout &rollout, const RolloutStatus &status)
{
    if (m_isStoreAway)
        return rollout.onStatusNotWritten(m_now);
    ++m_figures.storeWrites;
    if (rollout.statusRevision() != m_statusRevision) {
        if (m_storedStatus)
            return rollout.setStatus(*m_storedStatus, m_statusRevision, m_now);
        rollout.removeStatus(m_revision.epoch);
        return rollout.onStatusNotWritten(m_now);
    }
    const bool isCompleted = status.state == RolloutState::Completed
        && !(m_storedStatus && m_storedStatus->state == RolloutState::Completed);
    m_storedStatus = status;
    announce({ChangeKind::Status, {}, std::nullopt, status, 0, std::nullopt});
    m_statusRevision = m_revision;
    rollout.setStatus(status, m_statusRevision, m_now);
    if (isCompleted)
        stopOldServers();
}

void RolloutSimulation::stopOldServers()
{
    const auto isOld = [this](std::size_t server) {
        return m_servers[server].info.version != m_newVersion;
    };
    for (auto one = m_work.begin(); one != m_work.end();) {
        if (!isOld(one->second.server)) {
            ++one;
            continue;
        }
        ++m_figures.cutRequests;
        one->second.observation.recordLoss(true, m_now);
        one = m_work.erase(one);
    }
    for (std::size_t i = 0; i < m_servers.size(); ++i)
        m_servers[i].isDark = m_servers[i].isDark || isOld(i);
}

void RolloutSimulation::arrive(std::size_t route)
{
    const std::size_t gateway = m_random.bounded(m_gateways.size());
    Work work;
    work.gateway = gateway;
    work.route = route;
    if (!runs(*m_gateways[gateway]))
        return;
    work.versions = std::make_shared<RequestVersions>(*m_gateways[gateway]->rollouts);
    work.versions->begin(serviceName, m_settings.routes[route].name, m_now);
    send(std::move(work));
}

// The less loaded one of two, as far as one is allowed.
std::optional<std::size_t> RolloutSimulation::choose(RequestVersions &versions)
{
    versions.startChoice(m_now);
    do {
        std::vector<std::size_t> allowed;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (versions.accepts(m_servers[i].info))
                allowed.push_back(i);
        }
        if (allowed.empty())
            continue;
        const std::size_t one = allowed[m_random.bounded(allowed.size())];
        const std::size_t other = allowed[m_random.bounded(allowed.size())];
        return m_servers[one].load <= m_servers[other].load ? one : other;
    } while (versions.widenChoice(m_now));
    return std::nullopt;
}

void RolloutSimulation::send(Work work)
{
    const auto chosen = choose(*work.versions);
    if (!chosen) {
        ++m_figures.unserved;
        return;
    }
    const Route &route = m_settings.routes[work.route];
    Server &server = m_servers[*chosen];
    const bool isNew = server.info.version == m_newVersion;
    const bool isCounted = m_orderedAt != TimePoint {} && sinceOrder() <= m_settings.ramp;
    m_figures.requests += isCounted ? 1 : 0;
    if (isNew) {
        ++m_figures.newRequests;
        m_figures.lastNewAt = m_now;
    }
    ++server.load;
    work.server = *chosen;
    work.observation = AttemptObservation(work.versions, route.name, server.info, m_now);
    const auto &fault = m_settings.fault;
    work.isBad = isNew && fault && (fault->route.empty() || fault->route == route.name)
        && sinceOrder() >= fault->after && server.load >= fault->minLoad
        && m_random.generateDouble() < fault->portion;
    work.isFailed = (work.isBad && !fault->isSlow) || server.isDark
        || m_random.generateDouble() < route.failureRate + server.failureRate;
    double factor = m_slowness * (0.6 + 0.8 * m_random.generateDouble());
    factor *= work.isBad && fault->isSlow ? 5 : 1;
    const auto time = std::chrono::duration_cast<Duration>(route.usualTime * factor);
    m_work.emplace(m_now + time, std::move(work));
}

void RolloutSimulation::finish(Work work)
{
    --m_servers[work.server].load;
    BackendAnswer answer;
    answer.status = work.isFailed ? 500 : 200;
    if (m_servers[work.server].isDark)
        work.observation.recordLoss(true, m_now);
    else
        work.observation.recordAnswer(answer, m_now);
    if (work.isBad && ++m_figures.badAnswers == limitedBadAnswers)
        m_figures.enoughBadAt = m_now;
    const bool isRepeated =
        work.isFailed && !work.isRepeat && m_settings.routes[work.route].isIdempotent;
    if (!isRepeated || !m_gateways[work.gateway]->isUp)
        return;
    work.isRepeat = true;
    send(std::move(work));
}

bool RolloutSimulation::isIn(RolloutState state, const std::string &version) const
{
    return m_storedStatus && m_storedStatus->state == state && m_storedStatus->version == version;
}

double RolloutSimulation::exposureBound() const
{
    return m_rolloutSettings.maxShare * static_cast<double>(m_figures.requests)
        + m_rolloutSettings.slackRequests;
}

bool RolloutSimulation::endedInTime() const
{
    return !m_figures.enoughBadAt
        || m_figures.lastNewAt <= *m_figures.enoughBadAt + m_rolloutSettings.maxRollbackTime;
}

} // namespace foxtailring
