#pragma once

#include "foxtailring/decisions/configuration/ConfigChange.h"

#include <vector>

namespace foxtailring {

struct RouteConfig;

/// \brief What a new configuration would change.
class ConfigDifference
{
public:
    /// \brief Changes in the order limits, routes, services, accounts. Names no API key.
    ///
    /// Routes are the same if host and path prefix are, services and accounts if their names are.
    static std::vector<ConfigChange> between(const RouteConfig &inForce, const RouteConfig &next);
};

} // namespace foxtailring
