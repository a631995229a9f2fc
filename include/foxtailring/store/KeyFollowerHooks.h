#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Error.h"
#include "foxtailring/store/RangeResult.h"
#include "foxtailring/store/WatchEvent.h"

#include <functional>
#include <span>

namespace foxtailring {

/// \brief What a KeyFollower reports; the hooks never run concurrently.
struct KeyFollowerHooks
{
    /// All keys as read at one time; replaces what was known. False: reads again later.
    std::function<bool(const RangeResult &)> replaced;
    /// Changes in order, none of them reported before. False: reads everything again.
    std::function<bool(std::span<const WatchEvent>)> changed;
    /// Everything up to \a provedAt has been reported, on the clock of bootClock(). Optional.
    std::function<void(TimePoint provedAt)> confirmed;
    /// The service stopped answering; runs once until followed() runs. Optional.
    std::function<void(const Error &)> lost;
    /// The service answers, at first or again. Optional.
    std::function<void()> followed;
    /// Every failed call, lost() or not. Optional.
    std::function<void(const Error &)> failed;
};

} // namespace foxtailring
