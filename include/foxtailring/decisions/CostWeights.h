#pragma once

namespace foxtailring {

/// \brief How much a service minds waiting and spending, from its resource.
struct CostWeights
{
    double latency = 1.0;
    double resource = 1.0;
};

} // namespace foxtailring
