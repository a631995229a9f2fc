#pragma once

#include "foxtailring/decisions/configuration/CallerLimits.h"
#include "foxtailring/decisions/configuration/HttpRoute.h"
#include "foxtailring/decisions/configuration/KeyedAccount.h"
#include "foxtailring/decisions/configuration/RoutedService.h"

#include <cstdint>
#include <vector>

namespace foxtailring {

/// \brief One complete version of the route configuration.
struct RouteConfig
{
    std::int64_t version = 0;
    std::vector<HttpRoute> routes;
    std::vector<RoutedService> services;
    CallerLimits limits;
    bool hasAccounts = false; ///< requests need an API key unless the route is public
    std::vector<KeyedAccount> accounts;
};

} // namespace foxtailring
