#pragma once

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief A service that a route sends requests to, and its weight among the targets.
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1;
};

} // namespace foxtailring
