#include "foxtailring/decisions/rollouts/Rollout.h"

#include "foxtailring/decisions/rollouts/RolloutEnvironment.h"
#include "foxtailring/decisions/servers/BackendInfo.h"

#include <algorithm>

// Part of Rollout that decides which versions a request may have.

namespace foxtailring {

namespace {

// While the extra requests are sent, the new version gets up to this share of all.
constexpr double extraShare = 0.25;
// Room for uneven load on few servers.
constexpr double spreadMargin = 1.5;
constexpr std::chrono::milliseconds listInterval {250};

} // namespace

void Rollout::updateListed(TimePoint now)
{
    if (m_listedAt != TimePoint {} && now - m_listedAt < listInterval)
        return;
    m_listedAt = now;
    m_listed.update(m_environment.servers(m_service, now), m_order->version, m_refused);
    double spread = spreadMargin * share();
    if (now < m_orderedAt + RolloutSchedule::spreadTime(m_order->ramp))
        spread = std::max(spread, extraShare);
    m_listed.spread(share() >= 1 ? 1 : spread, m_service + m_orderRevision.toString());
}

Rollout::Mode Rollout::mode(TimePoint now) const
{
    if (!m_order)
        return Mode::Free;
    if (m_isCondemned)
        return Mode::Barred;
    if (m_status && m_status->state == RolloutState::Completed)
        return m_listed.hasNew() ? Mode::Done : Mode::Free;
    if (!m_listed.hasOld())
        return Mode::Free;
    if (!m_status)
        return m_isTrial ? Mode::Barred : Mode::Free;
    if (share() > m_schedule.trialShare())
        return Mode::Moving;
    return isInTouch(now) ? Mode::Trial : Mode::Barred;
}

bool Rollout::takeNew(std::string_view route, TimePoint now)
{
    if (!m_order)
        return false;
    updateListed(now);
    switch (mode(now)) {
    case Mode::Trial:
        return m_isSampler && m_listed.hasNew() && m_credit.tryTake(route, now);
    case Mode::Moving:
        return share() >= 1 || (m_isSampler && m_environment.random() < m_ownShare);
    case Mode::Done:
        return true;
    case Mode::Free:
    case Mode::Barred:
        break;
    }
    return false;
}

std::vector<VersionSide> Rollout::sides(bool wantsNew, TimePoint now)
{
    using Side = VersionSide;
    if (!m_order)
        return {Side::Any};
    updateListed(now);
    switch (mode(now)) {
    case Mode::Free:
        return {Side::Any};
    case Mode::Barred:
        return {Side::Old};
    case Mode::Trial:
        return wantsNew ? std::vector {Side::New, Side::Old} : std::vector {Side::Old};
    case Mode::Done:
        return {Side::New};
    case Mode::Moving:
        break;
    }
    // Others may have stopped the old servers on the word of this gateway.
    if (m_hasMoved && m_listed.hasNew())
        return isInTouch(now) ? std::vector {Side::New} : std::vector {Side::New, Side::Old};
    // The version may have been condemned, or the old servers stopped, without this gateway
    // learning of it.
    if (!isInTouch(now))
        return {Side::Old, Side::New};
    return wantsNew || share() >= 1 ? std::vector {Side::New, Side::Old} : std::vector {Side::Old};
}

bool Rollout::isAllowed(std::string_view version) const
{
    if (isRefused(version))
        return false;
    return !(isNew(version) && m_isCondemned);
}

// Before the last step, a resumed run would be a further request to the new version.
bool Rollout::allowsCopies(std::string_view version, TimePoint now) const
{
    if (!isAllowed(version))
        return false;
    const Mode current = mode(now);
    if (!isNew(version))
        return current != Mode::Done;
    const bool isLastStep = current == Mode::Moving && share() >= 1;
    return isLastStep || current == Mode::Done || current == Mode::Free;
}

bool Rollout::accepts(const BackendInfo &server, VersionSide side) const
{
    if (!isAllowed(server.version))
        return false;
    switch (side) {
    case VersionSide::Any:
        return true;
    case VersionSide::New:
        return isNew(server.version) && m_listed.isInUse(server.id);
    case VersionSide::Old:
        return !isNew(server.version);
    }
    return false;
}

} // namespace foxtailring
