#pragma once

#include "foxtailring/decisions/AccountLimits.h"
#include "TokenBucket.h"

#include <cstdint>

namespace foxtailring {

/// \brief What a client account uses of its limits at this entry. Not thread-safe.
struct AccountUsage
{
    AccountLimits limits;
    std::uint32_t running = 0;
    TokenBucket requestBucket;

    /// \brief Concurrent requests allowed at one of \a entries; 0: no limit.
    std::uint32_t maxConcurrentPerEntry(std::uint32_t entries) const
    {
        return (limits.maxConcurrent + entries - 1) / entries;
    }
    bool mayStart(std::uint32_t entries) const
    {
        return limits.maxConcurrent == 0 || running < maxConcurrentPerEntry(entries);
    }
};

} // namespace foxtailring
