#include "foxtailring/decisions/rollouts/Rollout.h"

#include "foxtailring/decisions/rollouts/RolloutEnvironment.h"

#include <algorithm>
#include <utility>

// Part of Rollout that decides the next status, and who writes it when.

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// Further gateways write a status that those before them did not.
constexpr milliseconds writerDelay {400};
constexpr std::size_t maxWriterRank = 4;
constexpr milliseconds writeRetryDelay {500};
// After the store was away, until the other gateways have told what they saw meanwhile.
constexpr milliseconds evidenceDelay {1500};

} // namespace

void Rollout::updateMoved()
{
    m_hasMoved = isServing() && share() >= 1 && m_listed.hasNew()
        && m_observer.openCountBeside(m_order->version) == 0;
}

bool Rollout::isMovedEverywhere() const
{
    const RolloutFleet fleet = m_environment.fleet(m_service);
    const auto hasMoved = [this](const std::string &id) {
        const auto witness = m_witnesses.find(id);
        return witness != m_witnesses.end() && isOfOrder(witness->second)
            && witness->second.isMoved;
    };
    return m_hasMoved && std::all_of(fleet.otherIds.begin(), fleet.otherIds.end(), hasMoved);
}

std::optional<VersionWitness> Rollout::witness(TimePoint now) const
{
    if (!isServing())
        return std::nullopt;
    VersionWitness witness;
    witness.version = m_order->version;
    witness.order = m_orderRevision;
    witness.isMoved = m_hasMoved;
    if (m_isSampler)
        witness.rows = m_observer.rows(now);
    return witness;
}

RolloutStatus Rollout::makeStatus(RolloutState state, double share, std::string reason,
                                  TimePoint now) const
{
    RolloutStatus status;
    status.state = state;
    status.version = m_order ? m_order->version : m_status->version;
    status.share = share;
    status.isTrial = m_isTrial;
    status.order = m_orderRevision;
    status.startedAtMs = m_status ? m_status->startedAtMs : 0;
    status.elapsedMs = std::chrono::duration_cast<milliseconds>(now - m_orderedAt).count();
    status.refused = m_refused;
    if (state == RolloutState::RolledBack && !isRefused(status.version) && m_order)
        status.refused.push_back(status.version);
    status.newFigures = m_verdict.newFigures;
    status.oldFigures = m_verdict.oldFigures;
    status.reason = std::move(reason);
    return status;
}

std::optional<RolloutStatus> Rollout::nextStatus(TimePoint now) const
{
    if (!m_order) {
        if (!m_status || m_status->state != RolloutState::Serving || m_isStatusStored)
            return std::nullopt;
        return makeStatus(RolloutState::RolledBack, 0, "order withdrawn", now);
    }
    if (!m_status) {
        RolloutStatus first = makeStatus(RolloutState::Serving,
                                         m_isTrial ? m_schedule.trialShare() : 1, "ordered", now);
        first.startedAtMs = m_environment.unixTime(now).count() - first.elapsedMs;
        return first;
    }
    if (!m_isStatusStored)
        return m_status;
    if (!isServing())
        return std::nullopt;
    if (m_isCondemned)
        return makeStatus(RolloutState::RolledBack, 0, "bad: " + m_verdict.aspect, now);
    RolloutSchedule::Progress progress;
    progress.elapsed = now - m_orderedAt;
    progress.ramp = m_order->ramp;
    progress.shareAge = now - m_shareSince;
    progress.share = share();
    progress.isMoved = isMovedEverywhere();
    progress.observedShare = observedShare();
    progress.hasOld = m_listed.hasOld();
    const auto next = m_listed.hasNew() ? m_schedule.next(progress, m_verdict) : std::nullopt;
    if (!next)
        return std::nullopt;
    if (next->isRolledBack)
        return makeStatus(RolloutState::RolledBack, 0, "suspect: " + m_verdict.aspect, now);
    if (next->isFinal)
        return makeStatus(RolloutState::Completed, 1, progress.isMoved ? "moved" : "deadline", now);
    if (m_lostTouchAt && now - *m_lostTouchAt < evidenceDelay)
        return std::nullopt;
    return makeStatus(RolloutState::Serving, next->share, "good so far", now);
}

std::optional<RolloutStatus> Rollout::takeDueStatus(TimePoint now)
{
    if (m_order)
        updateListed(now);
    if (m_isWriting || now < m_writeAfter || !isInTouch(now))
        return std::nullopt;
    auto next = nextStatus(now);
    if (!next) {
        m_dueSince.reset();
        return std::nullopt;
    }
    if (!m_dueSince)
        m_dueSince = now;
    const auto rank = std::min(m_environment.fleet(m_service).rank, maxWriterRank);
    if (now - *m_dueSince < static_cast<int>(rank) * writerDelay)
        return std::nullopt;
    m_isWriting = true;
    return next;
}

void Rollout::onStatusNotWritten(TimePoint now)
{
    m_isWriting = false;
    m_writeAfter = now + writeRetryDelay;
}

} // namespace foxtailring
