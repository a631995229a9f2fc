#pragma once

#include "foxtailring/base/StoreRevision.h"
#include "foxtailring/decisions/rollouts/VersionRow.h"

#include <map>
#include <string>

namespace foxtailring {

/// \brief What one gateway has seen of a roll-out since its order.
struct VersionWitness
{
    std::string version;  ///< that the order names
    StoreRevision order;  ///< that the gateway has read
    bool isMoved = false; ///< none of its requests is at a server of another version
    std::map<VersionRowKey, VersionRow> rows;

    bool operator==(const VersionWitness &) const = default;
};

} // namespace foxtailring
