#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/StoreRevision.h"
#include "foxtailring/store/StoreLease.h"

#include <string>

namespace foxtailring {

/// \brief A key that this gateway keeps in the store under its lease.
struct LeasedKey
{
    std::string name;
    StoreRevision revision {}; ///< as far as known; number 0: it does not exist
    StoreLease lease {};       ///< under which it was written last; id 0: not written
    TimePoint writtenAt {};
};

} // namespace foxtailring
