#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief A bucket's document as the platform's service holds it.
struct BucketValue
{
    std::string value;         ///< empty when the document does not exist
    std::int64_t revision = 0; ///< 0 when the document does not exist
};

} // namespace foxtailring
