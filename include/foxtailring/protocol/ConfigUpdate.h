#pragma once

#include "foxtailring/protocol/MessageType.h"
#include "foxtailring/protocol/ResourceDelta.h"

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace foxtailring {

/// \brief Entry to sidecar: configuration changes up to a revision.
struct ConfigUpdate
{
    static constexpr MessageType type = MessageType::ConfigUpdate;

    std::int64_t revision = 0;
    std::int64_t baseRevision =
        0; ///< the revision that the update applies to; 0: it holds all resources
    std::vector<ResourceDelta> resources;
    std::int64_t epoch = 0;                  ///< of the store, in which the revisions are valid
    std::vector<std::int64_t> earlierEpochs; ///< known to have ended before \a epoch began

    MSGPACK_DEFINE_MAP(revision, baseRevision, resources, epoch, earlierEpochs)
};

} // namespace foxtailring
