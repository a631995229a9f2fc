#pragma once

#include "foxtailring/store/KeyValue.h"

#include <cstdint>

namespace foxtailring {

/// \brief Outcome of a compare-and-swap or compare-and-delete that the service has answered.
struct WriteResult
{
    bool applied = false;
    std::int64_t revision = 0; ///< revision of the store after the call
    KeyValue current;          ///< the key as the service holds it; set only when not applied
    std::int64_t epoch = 0;    ///< of the store, in which the revisions are valid
};

} // namespace foxtailring
