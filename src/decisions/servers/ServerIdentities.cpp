#include "foxtailring/decisions/servers/ServerIdentities.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

ServerIdentities::ServerIdentities(Settings settings)
    : m_settings(settings)
{
}

void ServerIdentities::setNamedServices(Names services, TimePoint now)
{
    if (m_services == services)
        return;
    const std::optional<Names> previous = std::exchange(m_services, std::move(services));
    for (const auto &[id, identity] : m_identities) {
        const std::string &service = identity.info.service;
        const bool wasNamed = !previous || previous->contains(service);
        if (!identity.isListed || wasNamed == isNamed(service))
            continue;
        if (wasNamed)
            endClaims(identity.info);
        else
            claimAddress(identity.info, now);
    }
}

void ServerIdentities::addEntry(const BackendInfo &info, TimePoint now)
{
    remove(info.id);
    Identity &identity = m_identities[info.id];
    identity.info = info;
    identity.isListed = true;
    m_idsByAddress[info.address].insert(info.id);
    if (isNamed(info.service))
        claimAddress(info, now);
}

void ServerIdentities::addUnlisted(const BackendInfo &info)
{
    remove(info.id);
    m_identities[info.id].info = info;
    m_idsByAddress[info.address].insert(info.id);
}

void ServerIdentities::remove(std::string_view id)
{
    const auto found = m_identities.find(id);
    if (found == m_identities.end())
        return;
    const Identity identity = std::move(found->second);
    m_identities.erase(found);
    endClaims(identity.info);
    const auto ids = m_idsByAddress.find(identity.info.address);
    ids->second.erase(identity.info.id);
    if (ids->second.empty())
        m_idsByAddress.erase(ids);
    m_disputedIds.erase(identity.info.id);
    m_suspendedIds.erase(identity.info.id);
}

// A server that starts has taken over its address from any other server still listed there.
void ServerIdentities::claimAddress(const BackendInfo &claimant, TimePoint now)
{
    for (const std::string &id : m_idsByAddress[claimant.address]) {
        Identity &identity = *find(id);
        if (id == claimant.id || identity.info.startedAtMs > claimant.startedAtMs)
            continue;
        identity.claimantId = claimant.id;
        identity.claimedUntil = now + m_settings.claimHold;
        update(identity, now);
    }
}

void ServerIdentities::endClaims(const BackendInfo &claimant)
{
    const auto ids = m_idsByAddress.find(claimant.address);
    if (ids == m_idsByAddress.end())
        return;
    for (const std::string &id : ids->second) {
        Identity *identity = find(id);
        if (identity && identity->claimantId == claimant.id)
            identity->claimantId.clear();
    }
}

void ServerIdentities::confirm(std::string_view id, TimePoint now)
{
    Identity *identity = find(id);
    if (!identity)
        return;
    endThirdPartyWord(*identity);
    update(*identity, now);
}

void ServerIdentities::endThirdPartyWord(Identity &identity)
{
    identity.claimantId.clear();
    identity.wrongServerAnswers = 0;
    identity.wrongServerUntil = {};
}

ReportedStart ServerIdentities::recordReport(std::string_view id, std::int64_t startedAtMs,
                                             TimePoint now)
{
    Identity *identity = find(id);
    if (!identity || startedAtMs <= 0 || identity->info.startedAtMs <= 0)
        return ReportedStart::Accepted;
    if (startedAtMs > identity->info.startedAtMs)
        recordLaterStart(*identity, startedAtMs, now);
    if (startedAtMs == identity->info.startedAtMs) {
        endThirdPartyWord(*identity);
        identity->laterStartMs = 0;
        identity->restartedUntil = {};
    }
    update(*identity, now);
    return reportedStart(*identity, now);
}

// Each start is news once. A server that keeps telling another start than its entry works all the
// same, and would otherwise be suspended again and again.
void ServerIdentities::recordLaterStart(Identity &identity, std::int64_t startedAtMs, TimePoint now)
{
    const bool isNews = identity.laterStartMs != startedAtMs;
    const bool isRepeated = !isNews && isRecent(identity.laterStartToldAt, now);
    if (isNews)
        identity.isLaterStartKnown = false;
    identity.laterStartMs = startedAtMs;
    identity.laterStartToldAt = now;
    const bool isConfirmed =
        isRepeated || isRecent(identity.connectionLostAt, now) || isSuspended(identity, now);
    if (!identity.isLaterStartKnown && isConfirmed)
        confirmRestart(identity, now);
}

void ServerIdentities::recordConnectionLost(std::string_view id, TimePoint now)
{
    Identity *identity = find(id);
    if (!identity)
        return;
    identity->connectionLostAt = now;
    if (reportedStart(*identity, now) == ReportedStart::Unconfirmed)
        confirmRestart(*identity, now);
    update(*identity, now);
}

void ServerIdentities::confirmRestart(Identity &identity, TimePoint now)
{
    identity.isLaterStartKnown = true;
    identity.restartedUntil = now + m_settings.restartHold;
}

ReportedStart ServerIdentities::reportedStart(std::string_view id, TimePoint now) const
{
    return m_disputedIds.contains(id) ? reportedStart(m_identities.find(id)->second, now)
                                      : ReportedStart::Accepted;
}

ReportedStart ServerIdentities::reportedStart(const Identity &identity, TimePoint now) const
{
    if (identity.restartedUntil > now)
        return ReportedStart::Restarted;
    const bool isUnconfirmed = identity.laterStartMs > 0 && !identity.isLaterStartKnown
        && isRecent(identity.laterStartToldAt, now);
    return isUnconfirmed ? ReportedStart::Unconfirmed : ReportedStart::Accepted;
}

bool ServerIdentities::isRecent(TimePoint at, TimePoint now) const
{
    return at != TimePoint {} && now - at <= m_settings.restartMemory;
}

// An entry with a wrong address is written again, too. What is at the address contradicts it each
// time, so that further requests are spared for longer and longer.
void ServerIdentities::confirmByEntry(std::string_view id, TimePoint now)
{
    Identity *identity = find(id);
    if (!identity)
        return;
    identity->claimantId.clear();
    if (identity->wrongServerAnswers <= 1)
        identity->wrongServerUntil = {};
    // The entry has the earlier start still, so the later one is wrong, or its entry will follow.
    identity->isLaterStartKnown = identity->laterStartMs > 0;
    identity->restartedUntil = {};
    update(*identity, now);
}

void ServerIdentities::recordWrongServer(std::string_view id, TimePoint now)
{
    Identity *identity = find(id);
    // Answers to requests that were sent together count as one.
    if (!identity || identity->wrongServerUntil > now)
        return;
    const auto doublings = std::min<std::uint32_t>(identity->wrongServerAnswers, 8);
    identity->wrongServerUntil = now
        + std::min<Duration>(m_settings.wrongServerHold * (1U << doublings),
                             m_settings.maxWrongServerHold);
    ++identity->wrongServerAnswers;
    update(*identity, now);
}

bool ServerIdentities::isSuspended(std::string_view id, TimePoint now) const
{
    return m_disputedIds.contains(id) && isSuspended(m_identities.find(id)->second, now);
}

bool ServerIdentities::isSuspended(const Identity &identity, TimePoint now)
{
    const bool isClaimed = !identity.claimantId.empty() && identity.claimedUntil > now;
    return isClaimed || identity.wrongServerUntil > now || identity.restartedUntil > now;
}

void ServerIdentities::expire(TimePoint now)
{
    const Names disputed = m_disputedIds;
    for (const std::string &id : disputed)
        update(*find(id), now);
}

void ServerIdentities::update(const Identity &identity, TimePoint now)
{
    const std::string &id = identity.info.id;
    if (isSuspended(identity, now) || reportedStart(identity, now) != ReportedStart::Accepted)
        m_disputedIds.insert(id);
    else
        m_disputedIds.erase(id);
    if (isSuspended(identity, now)) {
        if (m_suspendedIds.insert(id).second && m_hooks.onSuspended)
            m_hooks.onSuspended(identity.info);
    } else if (m_suspendedIds.erase(id) > 0 && m_hooks.onSuspensionEnded) {
        m_hooks.onSuspensionEnded(identity.info);
    }
}

bool ServerIdentities::isNamed(const std::string &service) const
{
    return !m_services || m_services->contains(service);
}

ServerIdentities::Identity *ServerIdentities::find(std::string_view id)
{
    const auto found = m_identities.find(id);
    return found == m_identities.end() ? nullptr : &found->second;
}

} // namespace foxtailring
