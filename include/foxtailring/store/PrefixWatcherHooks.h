#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Error.h"
#include "foxtailring/store/RangeResult.h"
#include "foxtailring/store/WatchEvent.h"

#include <functional>
#include <span>

namespace foxtailring {

/// \brief What a PrefixWatcher reports; the hooks never run concurrently.
struct PrefixWatcherHooks
{
    /// All keys as read at one time; replaces what was known. False: reads again later.
    std::function<bool(const RangeResult &)> onSnapshot;
    /// Changes in order, none of them reported before. False: reads everything again.
    std::function<bool(std::span<const WatchEvent>)> onChanges;
    /// Everything up to \a confirmedAt has been reported, on the clock of bootClock(). Optional.
    std::function<void(TimePoint confirmedAt)> onConfirmed;
    /// The service stopped answering; runs once until onAvailable() runs. Optional.
    std::function<void(const Error &)> onUnavailable;
    /// The service answers, at first or again. Optional.
    std::function<void()> onAvailable;
    /// Every failed call, onUnavailable() or not. Optional.
    std::function<void(const Error &)> onError;
};

} // namespace foxtailring
