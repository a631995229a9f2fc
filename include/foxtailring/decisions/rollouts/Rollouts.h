#pragma once

#include "foxtailring/decisions/rollouts/Rollout.h"
#include "foxtailring/decisions/rollouts/RolloutEnvironment.h"
#include "foxtailring/decisions/rollouts/RolloutSettings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief The roll-outs of all services at one gateway. Not thread-safe; used on one queue.
class Rollouts
{
public:
    using Witnesses = std::map<std::string, VersionWitness>; ///< by service

    Rollouts(RolloutSettings settings, RolloutEnvironment environment);

    /// \brief The roll-out of the service. It stays where it is as long as this object.
    Rollout &of(std::string_view service);
    /// \brief Calls \a action for each service with an order or a request so far.
    void forEach(const std::function<void(const std::string &service, Rollout &)> &action);

    /// \brief Replaces what another gateway has seen; services that are missing are forgotten.
    void setWitnesses(std::string_view gatewayId, const Witnesses &witnesses);
    void removeWitnesses(std::string_view gatewayId);
    /// \brief What an earlier process of this gateway had seen. To be called once at the start,
    /// after the orders: its own witnesses would hide them from the other gateways.
    void restoreWitnesses(const Witnesses &witnesses);
    /// \brief What this gateway has to tell now, if that changed and is due.
    std::optional<Witnesses> takeDueWitnesses(TimePoint now);
    /// \brief The latest ones did not reach the store.
    void onWitnessesNotWritten();

private:
    bool hasNews(const Witnesses &current) const;

    const RolloutSettings m_settings;
    const RolloutEnvironment m_environment;
    std::map<std::string, std::unique_ptr<Rollout>, std::less<>> m_rollouts;
    Witnesses m_told;
    TimePoint m_toldAt;
};

} // namespace foxtailring
