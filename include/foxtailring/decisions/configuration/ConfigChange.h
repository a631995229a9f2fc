#pragma once

#include <string>

namespace foxtailring {

/// \brief One difference between two configurations, and what it will do.
struct ConfigChange
{
    std::string place; ///< for instance `route "r-1"`
    std::string what;  ///< for instance `timeout 2000 ms -> 1000 ms`
    std::string effect;
    bool endsService = false; ///< requests that are served now will be refused
};

} // namespace foxtailring
