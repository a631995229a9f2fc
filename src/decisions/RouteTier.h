#pragma once

#include "foxtailring/decisions/RouteRequest.h"
#include "foxtailring/decisions/ServerInfo.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace foxtailring {

/// \brief How far a server is from the entry, nearest first.
enum class RouteTier : std::uint8_t { SameZone, SameRegion, OtherRegion };

constexpr std::array routeTiers = {RouteTier::SameZone, RouteTier::SameRegion,
                                   RouteTier::OtherRegion};

/// \brief The entry of \a values that belongs to \a tier.
constexpr double valueForTier(RouteTier tier, const std::array<double, routeTiers.size()> &values)
{
    return values[static_cast<std::size_t>(tier)];
}

RouteTier routeTierOf(const ServerInfo &info, const RouteRequest &request);
const char *routeTierName(RouteTier tier);

} // namespace foxtailring
