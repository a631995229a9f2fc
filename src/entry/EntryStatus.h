#pragma once

#include "foxtailring/entry/NodeRevision.h"

#include <string>
#include <vector>

namespace foxtailring {

struct EntryParts;

/// \brief What operators see of one entry.
struct EntryStatus
{
    static std::vector<NodeRevision> nodes(const EntryParts &parts, bool isServing);
    /// \brief JSON object with servers, their loads and the work in flight.
    static std::string json(const EntryParts &parts);
};

} // namespace foxtailring
