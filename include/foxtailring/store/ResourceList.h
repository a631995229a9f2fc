#pragma once

#include "foxtailring/decisions/configuration/StoredResource.h"

#include <cstdint>
#include <vector>

namespace foxtailring {

/// \brief All resources as they were at one revision of the store.
struct ResourceList
{
    std::int64_t revision = 0;
    std::vector<StoredResource> resources;
    std::int64_t epoch = 0; ///< of the store, in which the revisions are valid
};

} // namespace foxtailring
