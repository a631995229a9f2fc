#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief Replace a bucket's document if its revision is still the expected one.
///
/// Answered by onSwapSucceeded(), onSwapConflict(), onSwapUnknown() or onPlatformUnavailable().
struct SwapBucket
{
    std::uint32_t bucket = 0;
    std::string value;
    std::int64_t expectedRevision = 0; ///< 0: the document does not exist
};

} // namespace foxtailring
