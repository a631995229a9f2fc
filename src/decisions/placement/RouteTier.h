#pragma once

#include "foxtailring/decisions/placement/RouteRequest.h"
#include "foxtailring/decisions/servers/ServerInfo.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace foxtailring {

/// \brief Distance of a server from the entry, nearest first.
enum class RouteTier : std::uint8_t { SameZone, SameRegion, OtherRegion };

constexpr std::array routeTiers = {RouteTier::SameZone, RouteTier::SameRegion,
                                   RouteTier::OtherRegion};

/// \brief Returns the element of \a values for \a tier.
constexpr double valueForTier(RouteTier tier, const std::array<double, routeTiers.size()> &values)
{
    return values[static_cast<std::size_t>(tier)];
}

RouteTier routeTierOf(const ServerInfo &info, const RouteRequest &request);
const char *routeTierName(RouteTier tier);

} // namespace foxtailring
