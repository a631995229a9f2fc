#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Error.h"
#include "foxtailring/store/RangeResult.h"
#include "foxtailring/store/WatchEvent.h"

#include <chrono>
#include <functional>
#include <span>

namespace foxtailring {

/// \brief Callbacks of a PrefixWatcher; they never run concurrently.
struct PrefixWatcherHooks
{
    /// All keys at one revision; replaces everything reported before. False: they could not be used
    /// and are read again after a backoff.
    std::function<bool(const RangeResult &)> onSnapshot;
    /// Changes in order, each reported once. False: they could not be used; reads all keys again.
    std::function<bool(std::span<const WatchEvent>)> onChanges;
    /// All changes made up to \a confirmedAt, on bootClock(), have been reported. Optional.
    std::function<void(TimePoint confirmedAt)> onConfirmed;
    /// The changes since the last one reported are gone from the store, or are too many to be read
    /// one by one; all keys are read again after rereadDelay(). Optional.
    std::function<void(std::chrono::milliseconds untilRead)> onHistoryLost;
    /// The store has changes beyond those reported. They follow, or all keys are read again.
    /// Optional.
    std::function<void()> onBehind;
    /// Optional; no delay by default.
    std::function<std::chrono::milliseconds()> rereadDelay;
    /// The first failure of an outage; runs again only after onAvailable(). Optional.
    std::function<void(const Error &)> onUnavailable;
    /// The first answer of the service, at the start or after a failure. Optional.
    std::function<void()> onAvailable;
    /// Every failure, also those that follow onUnavailable(). Optional.
    std::function<void(const Error &)> onError;
};

} // namespace foxtailring
