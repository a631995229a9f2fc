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
    double total = 0;
    for (const ServerState &state : states) {
        if (state.reportAge == Duration::max())
            continue;
        work += reportedByOthers(state);
        total += capacity(state);
    }
    if (total > 0)
        m_meanOfOthers = work / total;
}

double LoadEstimate::load(const ServerState &state) const
{
    const double size = capacity(state);
    double weight = 0;
    if (state.reportAge != Duration::max()) {
        const double age = std::chrono::duration<double>(state.reportAge).count();
        weight = std::exp2(-age / m_halfLifeSeconds);
    }
    const double others = weight * reportedByOthers(state) + (1 - weight) * m_meanOfOthers * size;
    return (others + state.ownInFlight) / size;
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
