#pragma once

#include "foxtailring/store/KeyValue.h"

#include <cstdint>
#include <vector>

namespace foxtailring {

/// \brief Keys as they were at one revision of the store.
struct RangeResult
{
    std::int64_t revision = 0;
    std::vector<KeyValue> pairs;
};

} // namespace foxtailring
