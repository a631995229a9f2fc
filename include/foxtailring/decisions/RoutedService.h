#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief What the configuration says of the backend servers of one service.
struct RoutedService
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< that one server takes from all callers; 0: not stated
    bool copiesContinuously = false;  ///< a copy of a run can grow at another server
    bool copiesOnDemand = false;      ///< a run's memory can be copied at any time
    std::uint64_t memoryTokens = 0;   ///< of one server, for prompts and output; 0: not an engine
    std::uint32_t tokensPerEvent = 1;
};

} // namespace foxtailring
