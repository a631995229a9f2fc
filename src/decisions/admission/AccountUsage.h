#pragma once

#include "foxtailring/decisions/admission/AccountLimits.h"
#include "limits/TokenBucket.h"

#include <cstdint>

namespace foxtailring {

/// \brief Limits of a client account and their use at this entry. Not thread-safe.
struct AccountUsage
{
    AccountLimits limits;
    std::uint32_t running = 0;
    TokenBucket requestBucket;

    /// \brief Share of the concurrency limit at each of \a entries, rounded up; 0: no limit.
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
