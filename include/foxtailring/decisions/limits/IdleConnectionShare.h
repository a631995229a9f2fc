#pragma once

#include "foxtailring/base/Clock.h"

#include <deque>
#include <optional>

namespace foxtailring {

class FleetMembership;

/// \brief This process's share of the idle connections to a server: divided by demand
/// (IdleConnectionDivision), falls at once, rises late.
///
/// Not thread-safe.
class IdleConnectionShare
{
public:
    struct Settings
    {
        double fleetLimit = 0; ///< idle connections to one server that all processes keep
        /// Longest time until a process that follows the store knows what is written there. A
        /// process without word from it for longer does not follow it.
        Duration maxListDelay {0};
    };

    explicit IdleConnectionShare(const Settings &settings);

    /// \brief Divides by what this process knows now. To be called after each single change of the
    /// list, and at least every 0.25 s. No effect before the list is known.
    /// \param listAge time since the store confirmed the list; none: it never did
    void update(const FleetMembership &fleet, std::optional<Duration> listAge, TimePoint now);
    /// \brief Share to use, in connections; 0 before the list is known.
    double inForce() const { return m_samples.empty() ? 0 : m_samples.front().share; }

private:
    struct Sample
    {
        TimePoint since;
        double share;
    };

    double divided(const FleetMembership &fleet, bool followsStore) const;
    void append(double share, TimePoint now);

    const Settings m_settings;
    bool m_wasListed = false;     ///< the others count this process, or have counted it
    std::deque<Sample> m_samples; ///< the least ones of late; each is higher than the one before
};

} // namespace foxtailring
