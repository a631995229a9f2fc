#pragma once

#include "foxtailring/decisions/servers/ServerState.h"

#include "RouteTier.h"

namespace foxtailring {

/// \brief A server that may be chosen, rated for one request.
struct RouteCandidate
{
    ServerState state;
    RouteTier tier = RouteTier::SameZone;
    double capacity = 0;  ///< reported, or assumed if none was reported
    double load = 0;      ///< expected work per unit of capacity
    bool hasHint = false; ///< its engine is likely to have the prompt prefix cached
};

} // namespace foxtailring
