#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/limits/DemandEstimator.h"

#include <cstddef>
#include <optional>

namespace foxtailring {

/// \brief This process's demand for connections, as the others are told: the binary logarithm of
/// its requests per second (IdleConnectionDivision), changed rarely.
///
/// Not thread-safe.
class IdleConnectionDemand
{
public:
    /// \param phase from 0 to 1, differs between processes: spreads the first writes of a fleet
    explicit IdleConnectionDemand(double phase);

    /// \brief Records a request.
    void record(TimePoint now);

    /// \brief The demand to list now, if it differs enough from \a listed and no write is too
    /// recent. It counts as written.
    /// \param listed by this process in the store, as far as known there; none: none
    /// \param processCount number of processes that share the store's writes
    std::optional<int> takeDue(std::optional<int> listed, std::size_t processCount, TimePoint now);

private:
    bool isTooSoon(std::size_t processCount, TimePoint now) const;
    double perSecond(TimePoint now) const;

    const double m_phase;
    DemandEstimator m_rate;
    std::optional<TimePoint> m_startedAt; ///< first request
    std::optional<TimePoint> m_writtenAt;
};

} // namespace foxtailring
