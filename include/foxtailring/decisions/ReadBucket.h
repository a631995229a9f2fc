#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Read a bucket's document; answered by onBucketLoaded() or onPlatformUnavailable().
struct ReadBucket
{
    std::uint32_t bucket = 0;
};

} // namespace foxtailring
