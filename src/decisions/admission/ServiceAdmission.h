#pragma once

#include "FairQueue.h"
#include "limits/DecayingRate.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace foxtailring {

/// \brief Concurrency limit and queues of one service at one entry. Not thread-safe.
class ServiceAdmission
{
public:
    static constexpr std::size_t priorityCount = 10;

    explicit ServiceAdmission(double assumedRunSeconds);

    std::uint32_t limit = 0;
    double newWorkShare = 1;
    std::uint32_t running = 0;
    std::array<FairQueue, priorityCount> queues; ///< by priority

    std::uint32_t effectiveLimit() const;
    bool hasFreeSlot() const { return running < effectiveLimit(); }
    std::size_t queued() const;
    std::size_t queuedAbove(std::size_t priority) const;

    void recordAccepted(std::size_t priority, TimePoint now);
    void recordRun(Duration runTime);
    double meanRunSeconds() const { return m_meanRunSeconds; }

    /// \brief Expected time until a request of \a priority with \a ahead others before it starts.
    double expectedWaitSeconds(std::size_t priority, std::size_t ahead, TimePoint now) const;

private:
    std::array<DecayingRate, priorityCount> m_accepted;
    double m_meanRunSeconds;
};

} // namespace foxtailring
