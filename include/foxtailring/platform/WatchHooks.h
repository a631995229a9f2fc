#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/platform/WatchEvent.h"

#include <cstdint>
#include <functional>
#include <span>

namespace foxtailring {

/// \brief What a watch reports; the hooks never run concurrently.
struct WatchHooks
{
    /// Changes up to and including a revision, in order.
    std::function<void(std::span<const WatchEvent>, std::int64_t revision)> changed;
    /// Runs exactly once. Stale: the start revision is compacted, read everything again.
    std::function<void(Error)> ended;
};

} // namespace foxtailring
