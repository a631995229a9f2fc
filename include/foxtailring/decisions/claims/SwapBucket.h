#pragma once

#include "foxtailring/base/StoreRevision.h"
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
    StoreRevision expectedRevision; ///< number 0: the document does not exist
};

} // namespace foxtailring
