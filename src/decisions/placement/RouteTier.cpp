#include "RouteTier.h"

namespace foxtailring {

RouteTier routeTierOf(const ServerInfo &info, const RouteRequest &request)
{
    if (info.region != request.region)
        return RouteTier::OtherRegion;
    return info.availabilityZone == request.zone ? RouteTier::SameZone : RouteTier::SameRegion;
}

const char *routeTierName(RouteTier tier)
{
    switch (tier) {
    case RouteTier::SameZone:
        return "same zone";
    case RouteTier::SameRegion:
        return "same region";
    case RouteTier::OtherRegion:
        break;
    }
    return "other region";
}

} // namespace foxtailring
