#include "foxtailring/decisions/rollouts/Rollout.h"

#include "foxtailring/decisions/rollouts/RolloutEnvironment.h"
#include "foxtailring/decisions/servers/BackendInfo.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Gateways that send requests to a version on trial. More would add store calls, not certainty.
constexpr double maxSamplers = 32;
// Half of the requests beyond the share are for the trial, the other half for a move that ends.
constexpr double extraFraction = 0.5;
/// Of the requests of one gateway, so that it sees both versions.
constexpr double maxOwnShare = 0.5;
// A version that gateways used for so long before the order is not on trial.
constexpr seconds provenAfter {10};
// The operator writes an order again that a restored store has lost.
constexpr seconds orderRewriteTime {5};
constexpr std::size_t maxRefused = 16;

} // namespace

Rollout::Rollout(std::string service, const RolloutSettings &settings,
                 const RolloutEnvironment &environment)
    : m_service(std::move(service))
    , m_settings(settings)
    , m_environment(environment)
    , m_schedule(settings)
{
}

void Rollout::setOrder(const RolloutOrder &order, StoreRevision revision, bool isLive,
                       TimePoint now)
{
    m_orderLostAt.reset();
    const bool isSame = m_order && m_order->version == order.version;
    const bool isRewritten = isSame && revision.epoch != m_orderRevision.epoch;
    const bool wasRolledBack =
        isSame && m_status && m_status->state == RolloutState::RolledBack && !isRewritten;
    const bool isKnown = revision == m_orderRevision;
    m_orderRevision = revision;
    if (isKnown || (isSame && !wasRolledBack)) {
        m_order = order;
        return adoptRevision(revision);
    }
    const std::string previous = unprovenVersion();
    const bool isTrial = !isLive || isRefused(order.version) || !isProven(order.version, now);
    m_order = order;
    m_isLive = isLive;
    m_orderedAt = now;
    refuse(previous);
    std::erase(m_refused, order.version);
    begin(isTrial, now);
}

// Gateways that start take a status for the order that it names.
void Rollout::adoptRevision(StoreRevision revision)
{
    if (!isServing() || m_status->order == revision)
        return;
    m_status->order = revision;
    m_isStatusStored = false;
}

void Rollout::begin(bool isTrial, TimePoint now)
{
    ++m_orderCount;
    m_hasMoved = false;
    m_isTrial = isTrial;
    m_isCondemned = false;
    m_verdict = {};
    m_status.reset();
    m_isStatusStored = false;
    m_dueSince.reset();
    m_evidence.reset();
    m_observer.restart(m_order->version, now);
    m_credit.restart(0, 0, now);
    m_listedAt = {};
    if (m_environment.onOrder)
        m_environment.onOrder(m_service, m_order->version, isTrial);
    updateSampling();
    restoreStored(now);
}

// The status may have been read before the order.
void Rollout::restoreStored(TimePoint now)
{
    if (!m_stored || !answersOrder(*m_stored))
        return;
    m_isStatusStored = true;
    adopt(*m_stored, now);
}

// Servers of a version that an order has just called into being may be used for moments before this
// gateway learns of the order.
bool Rollout::isProven(std::string_view version, TimePoint now) const
{
    const auto firstUse = m_observer.firstUse(version);
    if (!firstUse || now - *firstUse < provenAfter)
        return false;
    const std::vector<BackendInfo> servers = m_environment.servers(m_service, now);
    return std::any_of(servers.begin(), servers.end(),
                       [version](const BackendInfo &server) { return server.version == version; });
}

void Rollout::removeOrder(std::int64_t epoch, TimePoint now)
{
    if (!m_order)
        return;
    if (epoch != m_orderRevision.epoch && !m_orderLostAt) {
        m_orderLostAt = now;
        return;
    }
    if (m_orderLostAt && now - *m_orderLostAt < orderRewriteTime)
        return;
    const bool isOpen = !m_status || m_status->state == RolloutState::Serving;
    refuse(unprovenVersion());
    ++m_orderCount;
    m_isStatusStored = m_isStatusStored && !isOpen;
    m_order.reset();
    m_orderLostAt.reset();
    if (m_environment.onOrder)
        m_environment.onOrder(m_service, "", false);
}

// The version of the order, unless it served before the order or was completed.
std::string Rollout::unprovenVersion() const
{
    const bool isCompleted = m_status && m_status->state == RolloutState::Completed;
    return m_order && m_isTrial && !isCompleted ? m_order->version : std::string();
}

void Rollout::refuse(const std::string &version)
{
    if (version.empty() || isRefused(version))
        return;
    m_refused.push_back(version);
    if (m_refused.size() > maxRefused)
        m_refused.erase(m_refused.begin());
}

bool Rollout::isRefused(std::string_view version) const
{
    return std::find(m_refused.begin(), m_refused.end(), version) != m_refused.end();
}

// An order for a version that was rolled back, or whose order was deleted, begins anew: there is no
// evidence for the share that it had.
bool Rollout::answersOrder(const RolloutStatus &status) const
{
    if (!m_order || status.version != m_order->version)
        return false;
    const bool isOfOlderOrder =
        status.order.epoch == m_orderRevision.epoch && status.order.number < m_orderRevision.number;
    return !isOfOlderOrder || status.state == RolloutState::Completed;
}

// A copy of the store may be older than what was decided. Shares only rise.
bool Rollout::isBehind(const RolloutStatus &status) const
{
    if (!m_status || status.state != RolloutState::Serving)
        return false;
    return m_status->state != RolloutState::Serving || status.share < m_status->share;
}

void Rollout::setStatus(const RolloutStatus &status, StoreRevision revision, TimePoint now)
{
    m_isWriting = false;
    // The reply of a write may come behind a change that followed it.
    if (revision.epoch == m_statusRevision.epoch && revision.number < m_statusRevision.number)
        return;
    m_statusRevision = revision;
    m_stored = status;
    for (const std::string &version : status.refused) {
        if (!m_order || version != m_order->version)
            refuse(version);
    }
    if (!answersOrder(status)) {
        m_isStatusStored = false;
        const bool isUnproven = status.isTrial && status.state != RolloutState::Completed;
        if (isUnproven && (!m_order || status.version != m_order->version))
            refuse(status.version);
        if (!m_order)
            keepWithoutOrder(status, now);
        return;
    }
    m_isStatusStored = !isBehind(status);
    if (m_isStatusStored)
        adopt(status, now);
}

// The order of a status that serves was deleted, or is missing in a restored store for a while.
void Rollout::keepWithoutOrder(const RolloutStatus &status, TimePoint now)
{
    m_status = status;
    m_isStatusStored = status.state != RolloutState::Serving;
    m_writeAfter = now + orderRewriteTime;
}

void Rollout::adopt(const RolloutStatus &status, TimePoint now)
{
    const bool isStep =
        !m_status || m_status->state != status.state || m_status->share != status.share;
    m_status = status;
    m_isTrial = status.isTrial;
    m_dueSince.reset();
    if (!isStep)
        return;
    m_shareSince = now;
    // A gateway that has started since then learns from the status how old the order is.
    if (!m_isLive)
        m_orderedAt = std::min(m_orderedAt, now - orderAge(status, now));
    if (status.state == RolloutState::Completed)
        m_observer.forgetUseBeside(status.version);
    if (status.state != RolloutState::Serving)
        m_isCondemned = status.state == RolloutState::RolledBack;
    applyShare();
    if (m_environment.onStep)
        m_environment.onStep(m_service, status, status.reason);
}

// The clocks of the writer and of this VM may have jumped. An age that is too low delays the next
// step; one that is too high takes it without evidence.
Duration Rollout::orderAge(const RolloutStatus &status, TimePoint now) const
{
    const auto ramp = std::chrono::duration_cast<milliseconds>(m_order->ramp);
    const auto known = std::clamp(milliseconds(status.elapsedMs), milliseconds {0}, 2 * ramp);
    const milliseconds byClock = m_environment.unixTime(now) - milliseconds(status.startedAtMs);
    return status.startedAtMs > 0 && byClock >= known && byClock <= ramp ? byClock : known;
}

void Rollout::applyShare()
{
    m_listedAt = {};
    if (!isServing())
        return m_credit.setShare(0);
    const RolloutFleet fleet = m_environment.fleet(m_service);
    // Only some gateways take part in a large fleet, and tell of all that they send.
    const auto listed = static_cast<double>(fleet.otherIds.size() + 1);
    m_ownShare = std::min(maxOwnShare, share() * std::max(1.0, listed / maxSamplers));
    if (share() > m_schedule.trialShare())
        return m_credit.setShare(0);
    const auto delay = std::chrono::duration_cast<Duration>(
        RolloutSchedule::extraTime(m_order->ramp) * m_environment.random());
    m_credit.restart(m_ownShare, extraRequests(fleet), m_orderedAt + delay);
    const auto &routes = m_observer.routes();
    if (routes.size() > 1)
        m_credit.reserve(
            *std::next(routes.begin(), static_cast<std::ptrdiff_t>(fleet.rank % routes.size())),
            m_orderedAt + RolloutSchedule::reservedTime(m_order->ramp));
}

double Rollout::observedShare() const
{
    const auto listed = static_cast<double>(m_environment.fleet(m_service).otherIds.size() + 1);
    return std::min(1.0, maxSamplers / listed);
}

// A gateway that has started since the order may have used its part before.
double Rollout::extraRequests(const RolloutFleet &fleet) const
{
    if (!m_isLive)
        return 0;
    const double all = extraFraction * m_settings.slackRequests;
    const double samplers = std::clamp(static_cast<double>(fleet.size), 1.0, maxSamplers);
    if (all >= samplers)
        return all / samplers;
    return static_cast<double>(fleet.rank) < std::floor(all) ? 1 : 0;
}

void Rollout::removeStatus(std::int64_t epoch)
{
    m_statusRevision = {epoch, 0};
    m_stored.reset();
    m_isStatusStored = false;
}

void Rollout::setUnreadableStatus(StoreRevision revision)
{
    m_statusRevision = revision;
    m_stored.reset();
    m_isStatusStored = false;
}

void Rollout::setWitness(std::string_view gatewayId, VersionWitness witness)
{
    m_witnesses.insert_or_assign(std::string(gatewayId), std::move(witness));
}

bool Rollout::isOfOrder(const VersionWitness &witness) const
{
    return m_order && witness.version == m_order->version && witness.order == m_orderRevision;
}

void Rollout::restoreWitness(const VersionWitness &witness)
{
    if (isOfOrder(witness))
        m_observer.restore(witness.rows);
}

void Rollout::removeWitness(std::string_view gatewayId)
{
    const auto found = m_witnesses.find(gatewayId);
    if (found != m_witnesses.end())
        m_witnesses.erase(found);
}

bool Rollout::isServing() const
{
    return m_order && m_status && m_status->state == RolloutState::Serving;
}

bool Rollout::isInTouch(TimePoint now) const
{
    const auto age = m_environment.storeAge(now);
    return age && *age < m_settings.maxRollbackTime / 2;
}

void Rollout::step(TimePoint now)
{
    if (m_orderLostAt)
        removeOrder(m_orderRevision.epoch, now);
    m_observer.advance(now);
    updateMoved();
    if (!isInTouch(now))
        m_lostTouchAt = now;
    if (!isServing())
        return;
    updateSampling();
    updateEvidence(now);
}

void Rollout::updateSampling()
{
    m_isSampler = static_cast<double>(m_environment.fleet(m_service).rank) < maxSamplers;
}

void Rollout::updateEvidence(TimePoint now)
{
    VersionEvidence::Rows merged = m_observer.rows(now);
    for (const auto &[gatewayId, witness] : m_witnesses) {
        if (!isOfOrder(witness))
            continue;
        for (const auto &[key, row] : witness.rows)
            merged[key] += row;
    }
    m_evidence.update(std::move(merged), now);
    m_verdict = m_evidence.judge();
    if (!m_isTrial)
        m_verdict.grade = VersionVerdict::Grade::Good;
    if (!m_isCondemned && m_verdict.grade == VersionVerdict::Grade::Bad)
        condemn(m_verdict, now);
}

void Rollout::condemn(const VersionVerdict &verdict, TimePoint now)
{
    m_isCondemned = true;
    m_dueSince.reset();
    if (m_environment.onStep)
        m_environment.onStep(m_service,
                             makeStatus(RolloutState::Serving, 0, "bad: " + verdict.aspect, now),
                             "condemned");
}

} // namespace foxtailring
