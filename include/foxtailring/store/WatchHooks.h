#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/store/WatchEvent.h"

#include <cstdint>
#include <functional>
#include <span>

namespace foxtailring {

/// \brief What a watch reports; the hooks never run concurrently.
struct WatchHooks
{
    /// Changes up to and including a revision, in order.
    std::function<void(std::span<const WatchEvent>, std::int64_t revision)> onChanges;
    /// The service has answered that onChanges() has reported everything up to the moment \a
    /// confirmedAt, on a clock that counts suspended time. Optional; not every form of the service
    /// tells this.
    std::function<void(TimePoint confirmedAt)> onConfirmed;
    /// Runs exactly once. Stale: the start revision is compacted, read everything again.
    std::function<void(Error)> onEnded;
};

} // namespace foxtailring
