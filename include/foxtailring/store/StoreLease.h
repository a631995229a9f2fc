#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief A lease of the store. It ends with the store's epoch, and its id may be given out again.
struct StoreLease
{
    std::int64_t epoch = 0; ///< 0: the store names no epoch
    std::int64_t id = 0;    ///< 0: no lease

    bool operator==(const StoreLease &) const = default;
};

} // namespace foxtailring
