#pragma once

#include "foxtailring/decisions/ServerState.h"

#include "RouteTier.h"

namespace foxtailring {

/// \brief A candidate as one request sees it.
struct RouteCandidate
{
    ServerState state;
    RouteTier tier = RouteTier::SameZone;
    double capacity = 0; ///< reported, or assumed when none was
    double load = 0;     ///< expected work per unit of capacity
    bool hinted = false; ///< its engine probably has the prompt prefix cached
};

} // namespace foxtailring
