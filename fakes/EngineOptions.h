#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailring::fakes {

/// \brief Settings of the engine stand-in.
struct EngineOptions
{
    std::size_t slots = 8;
    std::chrono::microseconds tokenTime {20'000}; ///< per token with one generation in the batch
    double batchSlowdown = 0.02; ///< part of tokenTime added for each further generation
    std::chrono::microseconds prefillTimePerToken {20};
    std::size_t cacheBlocks = 4096;
    std::chrono::milliseconds loadLag {0};
    std::chrono::milliseconds eventLag {0};
    double eventLoss = 0.0; ///< part of the cache events that is lost
    std::uint64_t seed = 1;
    bool vary = false;
    bool checkFencing = false;
    std::vector<std::string> models; ///< empty: every model, adapter and version is known
    std::vector<std::string> adapters;
    std::vector<std::string> versions;
};

} // namespace foxtailring::fakes
