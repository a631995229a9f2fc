#pragma once

#include "foxtailring/decisions/configuration/ConfigFinding.h"

#include <vector>

namespace foxtailring {

struct ConfigSurroundings;
struct RouteConfig;

/// \brief Looks for what a configuration that can be decoded gets wrong.
class ConfigCheck
{
public:
    /// \brief Errors first, each in the order of the configuration.
    ///
    /// Finds routes and keys that can never match, services that are not defined or not used, and
    /// limits that contradict each other.
    static std::vector<ConfigFinding> check(const RouteConfig &config,
                                            const ConfigSurroundings &surroundings);
};

} // namespace foxtailring
