#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace foxtailring {

/// \brief Limits of a ClaimTable.
struct ClaimLimits
{
    Duration minSwapInterval = std::chrono::milliseconds(20); ///< between two swaps of any buckets
    Duration outageRetryDelay = std::chrono::seconds(1); ///< of a bucket, after a failed access
    std::int64_t retentionSeconds = 86'400;              ///< of a claim, after its last update
    std::int64_t maxClockSkewSeconds = 2;                ///< between wall clocks of sidecars
    /// The platform's key-value service accepts values of up to 1 MiB, counted without base64.
    std::size_t maxDocumentBytes = 900 * 1024;
    std::size_t maxAnswerBytes = 16 * 1024; ///< larger answers are not stored
};

} // namespace foxtailring
