#pragma once

#include "foxtailring/base/StoreRevision.h"
#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief A bucket's document as the platform's service holds it.
struct BucketValue
{
    std::string value;      ///< empty when the document does not exist
    StoreRevision revision; ///< number 0 when the document does not exist
};

} // namespace foxtailring
