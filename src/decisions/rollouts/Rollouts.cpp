#include "foxtailring/decisions/rollouts/Rollouts.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds usualInterval {1000};
/// Of witnesses with a new failure or acknowledgement.
constexpr milliseconds urgentInterval {500};

std::uint64_t failureCount(const VersionWitness &witness)
{
    std::uint64_t count = 0;
    for (const auto &[key, row] : witness.rows)
        count += key.isNew ? row.failures : 0;
    return count;
}

} // namespace

Rollouts::Rollouts(RolloutSettings settings, RolloutEnvironment environment)
    : m_settings(settings)
    , m_environment(std::move(environment))
{
}

Rollout &Rollouts::of(std::string_view service)
{
    auto found = m_rollouts.find(service);
    if (found == m_rollouts.end()) {
        std::string name(service);
        auto rollout = std::make_unique<Rollout>(name, m_settings, m_environment);
        found = m_rollouts.emplace(std::move(name), std::move(rollout)).first;
    }
    return *found->second;
}

void Rollouts::forEach(const std::function<void(const std::string &, Rollout &)> &action)
{
    for (const auto &[service, rollout] : m_rollouts)
        action(service, *rollout);
}

void Rollouts::setWitnesses(std::string_view gatewayId, const Witnesses &witnesses)
{
    removeWitnesses(gatewayId);
    for (const auto &[service, witness] : witnesses) {
        const auto found = m_rollouts.find(service);
        if (found != m_rollouts.end())
            found->second->setWitness(gatewayId, witness);
    }
}

void Rollouts::removeWitnesses(std::string_view gatewayId)
{
    for (const auto &[service, rollout] : m_rollouts)
        rollout->removeWitness(gatewayId);
}

void Rollouts::restoreWitnesses(const Witnesses &witnesses)
{
    for (const auto &[service, witness] : witnesses)
        of(service).restoreWitness(witness);
}

std::optional<Rollouts::Witnesses> Rollouts::takeDueWitnesses(TimePoint now)
{
    Witnesses current;
    for (const auto &[service, rollout] : m_rollouts) {
        if (auto witness = rollout->witness(now))
            current.emplace(service, std::move(*witness));
    }
    if (current.empty() || current == m_told)
        return std::nullopt;
    if (now - m_toldAt < (hasNews(current) ? urgentInterval : usualInterval))
        return std::nullopt;
    m_told = current;
    m_toldAt = now;
    return current;
}

bool Rollouts::hasNews(const Witnesses &current) const
{
    return std::any_of(current.begin(), current.end(), [this](const auto &one) {
        const auto told = m_told.find(one.first);
        return told == m_told.end() || one.second.isMoved != told->second.isMoved
            || failureCount(one.second) > failureCount(told->second);
    });
}

void Rollouts::onWitnessesNotWritten()
{
    m_told.clear();
}

} // namespace foxtailring
