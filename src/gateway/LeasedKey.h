#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief A key that this gateway keeps in the store under its lease.
struct LeasedKey
{
    std::string name;
    std::int64_t revision = 0; ///< as far as known; 0: it does not exist
    std::int64_t lease = 0;    ///< under which it was written last; 0: not written
    TimePoint writtenAt {};
};

} // namespace foxtailring
