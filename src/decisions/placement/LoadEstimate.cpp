#include "LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

LoadEstimate::LoadEstimate(std::span<const ServerState> states, double halfLifeSeconds,
                           double assumedCapacity)
    : m_halfLifeSeconds(std::max(1e-3, halfLifeSeconds))
    , m_assumedCapacity(assumedCapacity)
{
    double work = 0;
    double totalCapacity = 0;
    for (const ServerState &state : states) {
        if (state.reportAge == Duration::max())
            continue;
        work += reportedByOthers(state);
        totalCapacity += capacity(state);
    }
    if (totalCapacity > 0)
        m_meanOfOthers = work / totalCapacity;
}

double LoadEstimate::load(const ServerState &state) const
{
    const double serverCapacity = capacity(state);
    double weight = 0;
    if (state.reportAge != Duration::max()) {
        const double ageSeconds = std::chrono::duration<double>(state.reportAge).count();
        weight = std::exp2(-ageSeconds / m_halfLifeSeconds);
    }
    const double workOfOthers =
        weight * reportedByOthers(state) + (1 - weight) * m_meanOfOthers * serverCapacity;
    return (workOfOthers + state.ownInFlight) / serverCapacity;
}

double LoadEstimate::capacity(const ServerState &state) const
{
    return state.capacity > 0 ? state.capacity : m_assumedCapacity;
}

double LoadEstimate::reportedByOthers(const ServerState &state) const
{
    const double reported = static_cast<double>(state.running) + state.waiting;
    return std::max(0.0, reported - state.ownInFlightAtReport);
}

} // namespace foxtailring
