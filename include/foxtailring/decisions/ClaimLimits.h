#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace foxtailring {

/// \brief Fixed numbers of a ClaimTable.
struct ClaimLimits
{
    Duration minSwapInterval = std::chrono::milliseconds(20); ///< least time between two swaps
    Duration outageRetryDelay = std::chrono::seconds(1); ///< the platform is not asked again before
    std::int64_t retentionSeconds = 86'400;              ///< of a claim after its last change
    std::int64_t maxClockSkewSeconds = 2; ///< by which wall clocks of sidecars may differ
    /// The platform's service takes values of up to 1 MiB; base64 is not counted by it.
    std::size_t maxDocumentBytes = 900 * 1024;
    std::size_t maxAnswerBytes = 16 * 1024; ///< larger answers are not stored
};

} // namespace foxtailring
