#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief Configured properties of the backend servers of one service.
struct RoutedService
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< connections per server; 0: not given
    bool copiesContinuously = false;  ///< a run can be copied continuously to another server
    bool copiesOnDemand = false;      ///< a snapshot of a run can be copied at any time
    std::uint64_t memoryTokens = 0;   ///< per server, prompts and output; 0: not an engine
    std::uint32_t tokensPerEvent = 1;
};

} // namespace foxtailring
