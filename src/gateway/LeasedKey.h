#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/store/StoreLease.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief A key that this gateway keeps in the store under its lease.
struct LeasedKey
{
    std::string name;
    std::int64_t revision = 0; ///< as far as known; 0: it does not exist
    StoreLease lease {};       ///< under which it was written last; id 0: not written
    TimePoint writtenAt {};
};

} // namespace foxtailring
