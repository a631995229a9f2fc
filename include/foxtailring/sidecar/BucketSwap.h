#pragma once

#include "foxtailring/sidecar/BucketValue.h"

namespace foxtailring {

/// \brief Outcome of a compare-and-swap of a bucket that the platform's service has answered.
struct BucketSwap
{
    bool swapped = false;
    BucketValue present; ///< after a swap only the revision is set
};

} // namespace foxtailring
