#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief Action: replace a bucket's document if it still has the expected revision.
///
/// Reply with onSwapSucceeded(), onSwapConflict(), onSwapUnknown() or onPlatformUnavailable().
struct SwapBucket
{
    std::uint32_t bucket = 0;
    std::string value;
    std::int64_t expectedRevision = 0; ///< 0: the document does not exist
};

} // namespace foxtailring
