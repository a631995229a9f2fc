#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Action: read a bucket's document.
///
/// Reply with onBucketLoaded() or onPlatformUnavailable().
struct ReadBucket
{
    std::uint32_t bucket = 0;
};

} // namespace foxtailring
