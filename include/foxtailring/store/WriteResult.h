#pragma once

#include "foxtailring/store/KeyValue.h"

#include <cstdint>

namespace foxtailring {

/// \brief Outcome of a compare-and-swap that the service has answered.
struct WriteResult
{
    bool applied = false;
    std::int64_t revision = 0; ///< revision of the store after the call
    KeyValue current;          ///< the key as it is, when it was not swapped
};

} // namespace foxtailring
