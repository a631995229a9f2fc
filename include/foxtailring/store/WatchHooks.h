#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/store/WatchEvent.h"

#include <cstdint>
#include <functional>
#include <span>

namespace foxtailring {

/// \brief Callbacks of a watch; they never run concurrently.
struct WatchHooks
{
    /// All changes up to and including \a revision, in order.
    std::function<void(std::span<const WatchEvent>, std::int64_t revision)> onChanges;
    /// The service has confirmed that all changes made up to \a confirmedAt, on bootClock(), have
    /// been reported. Optional; not every client reports it.
    std::function<void(TimePoint confirmedAt)> onConfirmed;
    /// The service has changes beyond those reported, which follow. Optional; not every client
    /// reports it.
    std::function<void()> onBehind;
    /// Runs exactly once. Stale: the history from the start revision on is gone, because it was
    /// compacted or belongs to another epoch of the service; read all keys again.
    std::function<void(Error)> onEnded;
};

} // namespace foxtailring
