#include "foxtailring/decisions/ServerIdentities.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

ServerIdentities::ServerIdentities(Settings settings)
    : m_settings(settings)
{
}

void ServerIdentities::setNamedServices(Names services, TimePoint now)
{
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
        reportChange(identity, now);
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
    identity->claimantId.clear();
    identity->wrongServerAnswers = 0;
    identity->wrongServerUntil = {};
    reportChange(*identity, now);
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
    reportChange(*identity, now);
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
    reportChange(*identity, now);
}

bool ServerIdentities::isSuspended(std::string_view id, TimePoint now) const
{
    const auto found = m_identities.find(id);
    return found != m_identities.end() && isSuspended(found->second, now);
}

bool ServerIdentities::isSuspended(const Identity &identity, TimePoint now)
{
    const bool isClaimed = !identity.claimantId.empty() && identity.claimedUntil > now;
    return isClaimed || identity.wrongServerUntil > now;
}

void ServerIdentities::expire(TimePoint now)
{
    const Names suspended = m_suspendedIds;
    for (const std::string &id : suspended)
        reportChange(*find(id), now);
}

void ServerIdentities::reportChange(const Identity &identity, TimePoint now)
{
    const std::string &id = identity.info.id;
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
