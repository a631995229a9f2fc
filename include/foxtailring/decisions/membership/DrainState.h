#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"

#include <cstddef>
#include <cstdint>
#include <mutex>

namespace foxtailring {

enum class DrainPhase : std::uint8_t {
    Serving,  ///< accepts new work
    Draining, ///< refuses new work, finishes work in progress
    Drained,  ///< refuses everything; the process may exit
};

/// \brief Tracks whether a process accepts new work and when it has finished all of it.
///
/// Thread-safe.
class DrainState
{
public:
    /// \param limit maximum duration of draining
    explicit DrainState(Duration limit);

    DrainPhase phase() const;

    /// \brief Starts draining. False if it was started before.
    bool begin(TimePoint now);

    /// \brief Suspends or resumes new work at an operator's request, without draining. False if
    /// that changes nothing.
    bool setHold(bool on);
    bool takesNewWork() const;

    /// \brief Counts one work item as started. Draining if the process accepts no new work.
    Result<Done> admitWork();
    void endWork();
    std::size_t workInProgress() const;

    /// \brief Whether an entry may reattach to work that it started. Draining if drained.
    Result<Done> admitAttach() const;

    /// \brief Switches from draining to drained if no work is in progress and all answers are
    /// acknowledged, or if the limit has passed.
    /// \param unacknowledged number of answers that were not acknowledged yet
    /// \return the phase
    DrainPhase update(std::size_t unacknowledged, TimePoint now);

private:
    const Duration m_limit;
    mutable std::mutex m_mutex;
    DrainPhase m_phase = DrainPhase::Serving;
    bool m_isHeld = false; ///< an operator suspended new work
    TimePoint m_deadline;
    std::size_t m_workInProgress = 0;
};

} // namespace foxtailring
