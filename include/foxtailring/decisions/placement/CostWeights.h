#pragma once

namespace foxtailring {

/// \brief Weights of latency and of resource use in the routing cost of a service.
struct CostWeights
{
    double latency = 1.0;
    double resource = 1.0;
};

} // namespace foxtailring
