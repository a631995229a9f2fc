#pragma once

#include "foxtailring/store/KeyValue.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace foxtailring {

/// \brief Keys as they were at one revision of the store.
struct RangeResult
{
    std::int64_t revision = 0;
    std::vector<KeyValue> pairs;
    std::int64_t epoch = 0; ///< of the store, in which the revisions are valid
    std::size_t calls = 1;  ///< that the read took
};

} // namespace foxtailring
