#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"

#include <cstddef>
#include <cstdint>
#include <mutex>

namespace foxtailring {

enum class DrainPhase : std::uint8_t {
    Serving,  ///< takes new work
    Draining, ///< refuses new work, ends what it has
    Drained,  ///< refuses everything; the process may exit
};

/// \brief Whether a process takes new work, and when it has none left. Thread-safe.
class DrainState
{
public:
    /// \param limit longest time that draining may take
    explicit DrainState(Duration limit);

    DrainPhase phase() const;

    /// \brief Starts draining; false when that was done before.
    bool begin(TimePoint now);

    /// \brief Stops or restarts taking new work on the operators' word, which does not end the
    /// process; false when nothing changes.
    bool setHold(bool on);
    bool takesNewWork() const;

    /// \brief Counts one piece of work in; Draining unless the process takes new work.
    Result<Done> admitWork();
    /// \brief Counts one piece of work out.
    void endWork();
    std::size_t workInProgress() const;

    /// \brief Whether an entry may attach to work it started before; Draining when drained.
    Result<Done> admitAttach() const;

    /// \brief Moves on to drained when no work is in progress and \a unacknowledged answers is 0,
    /// or when the limit has passed. Returns the phase.
    DrainPhase update(std::size_t unacknowledged, TimePoint now);

private:
    const Duration m_limit;
    mutable std::mutex m_mutex;
    DrainPhase m_phase = DrainPhase::Serving;
    bool m_isHeld = false; ///< an operator asked for no new work
    TimePoint m_deadline;
    std::size_t m_workInProgress = 0;
};

} // namespace foxtailring
