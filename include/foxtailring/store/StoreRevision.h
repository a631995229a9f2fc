#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief A position in the store's history.
///
/// A store that was restored from a backup starts a new epoch and gives out again the revisions
/// since the backup, so positions of different epochs cannot be compared.
struct StoreRevision
{
    std::int64_t epoch = 0; ///< 0: the store names no epoch
    std::int64_t number = 0;
};

} // namespace foxtailring
